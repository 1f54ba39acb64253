#include "node.hpp"

#include "control/control_plane.hpp"
#include "core/hash.hpp"
#include "gate/address_answer.hpp"
#include "gate/request_handler.hpp"
#include "report/log.hpp"
#include "report/metrics_page.hpp"

#include <thread>

namespace flamingofield {

namespace {

constexpr std::size_t observationCapacity = 20000;
constexpr std::size_t adminThreads = 4;
constexpr milliseconds leavePropagationTime{1500}; // Time for the notice that this node leaves to reach all nodes.
constexpr milliseconds drainPollInterval{10};
constexpr seconds drainTimeout{60};

connection_limits gateLimits(const settings &configuration)
{
    connection_limits limits;
    limits.threads = configuration.threads;
    return limits;
}

connection_limits adminLimits()
{
    connection_limits limits;
    limits.threads = adminThreads;
    return limits;
}

} // namespace

class node::implementation
{
public:
    explicit implementation(settings configuration)
        : m_settings(std::move(configuration))
        , m_incarnation(randomIdentifier())
        , m_outcomes(m_incarnation, {}, std::chrono::steady_clock::now())
        , m_observations(observationCapacity)
        , m_targets(backend_limits{})
        , m_peers(backend_limits{})
        , m_handler({m_incarnation, m_snapshots, m_outcomes, m_targets, m_peers, m_observations, m_inflight, m_metrics, m_counters})
        , m_control({m_settings, m_incarnation, m_snapshots, m_outcomes, m_observations, m_inflight, m_metrics, m_counters})
        , m_gate(gateLimits(m_settings), [this](const http_request &request) { return m_handler.handle(request); })
        , m_admin(adminLimits(), [this](const http_request &request) { return serveAdmin(request); })
    {
    }

    result<void> start()
    {
        logEvent(log_level::info, "starting",
                 {{"incarnation", toHex(m_incarnation)}, {"gate", toString(m_settings.gate)}, {"data_centre", m_settings.dataCentre}});
        BOOST_OUTCOME_TRYV(m_control.start());
        BOOST_OUTCOME_TRYV(m_admin.start(m_settings.admin));
        BOOST_OUTCOME_TRYV(m_gate.start(m_settings.gate));
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    void stop()
    {
        logEvent(log_level::info, "leaving", {});
        m_control.leave();
        std::this_thread::sleep_for(addressAnswerLifetime + leavePropagationTime);
        m_outcomes.refuseNewKeys();
        const instant drainDeadline = std::chrono::steady_clock::now() + drainTimeout;
        while (m_handler.inFlight() > 0 && std::chrono::steady_clock::now() < drainDeadline) {
            std::this_thread::sleep_for(drainPollInterval);
        }
        m_gate.stop();
        m_admin.stop();
        m_control.stop();
        logEvent(log_level::info, "stopped", {});
    }

private:
    http_answer serveAdmin(const http_request &request)
    {
        http_answer answer;
        if (request.path == "/metrics") {
            answer.contentType = "text/plain; version=0.0.4";
            answer.body = encodeMetricsPage(m_metrics, m_counters, {m_gate.counts(), m_outcomes.size()});
        } else if (request.path == "/v1/status") {
            answer.body = m_control.status();
            answer.status = answer.body.empty() ? 503 : 200;
        } else if (request.path == "/healthz") {
            const bool isServing = m_snapshots.get() != nullptr;
            answer.status = isServing ? 200 : 503;
            answer.body = isServing ? R"({"state":"ok"})" : R"({"state":"starting"})";
        } else {
            answer = toAnswer({404, work_outcome::notRun, "no such page; see /metrics, /v1/status and /healthz", "admin", "", 0});
        }
        return answer;
    }

    settings m_settings;
    std::uint64_t m_incarnation;
    snapshot_holder m_snapshots;
    outcome_store m_outcomes;
    observation_queue m_observations;
    inflight_table m_inflight;
    service_metrics m_metrics;
    counter_table m_counters;
    backend_client m_targets;
    backend_client m_peers;
    request_handler m_handler;
    control_plane m_control;
    connection_server m_gate;
    connection_server m_admin;
};

node::node(settings configuration)
    : m_implementation(std::make_unique<implementation>(std::move(configuration)))
{
}

node::~node() = default;

result<void> node::start()
{
    return m_implementation->start();
}

void node::stop()
{
    m_implementation->stop();
}

} // namespace flamingofield
