#include "control/control_plane.hpp"

#include "control/node_controller.hpp"
#include "gate/backend_client.hpp"
#include "report/log.hpp"

#include <caf/all.hpp>

#include <nlohmann/json.hpp>

#include <future>

namespace flamingofield {

/// Messages between the actors of one process; they are not sent over the network.
struct peer_bytes
{
    std::string bytes;
    std::string peer;
};
struct connection_closed
{
    endpoint peer;
};
struct store_read_result
{
    std::shared_ptr<result<std::optional<stored_config>>> answer;
};
struct vm_list_result
{
    std::shared_ptr<result<std::vector<listed_vm>>> answer;
};
struct probe_batch
{
    std::vector<probe_request> requests;
};
struct probe_results
{
    std::vector<probe_result> results;
};
struct status_request
{
    std::shared_ptr<std::promise<std::string>> reply;
};

} // namespace flamingofield

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(flamingofield::peer_bytes)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(flamingofield::connection_closed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(flamingofield::store_read_result)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(flamingofield::vm_list_result)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(flamingofield::probe_batch)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(flamingofield::probe_results)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(flamingofield::status_request)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(flamingofield::store_read_request)

namespace flamingofield {

namespace {

using tick_atom = caf::atom_constant<caf::atom("tick")>;
using read_vms_atom = caf::atom_constant<caf::atom("readvms")>;
using leave_atom = caf::atom_constant<caf::atom("leave")>;

constexpr milliseconds tickPeriod{50};
constexpr milliseconds probeTimeout{500};
constexpr seconds statusTimeout{2}; // For the control actor to answer.

instant clockNow()
{
    return std::chrono::steady_clock::now();
}

caf::actor_system_config makeConfig()
{
    caf::actor_system_config config;
    config.set("scheduler.max-threads", std::size_t{1});
    // The default policy polls for work to steal, which costs an idle node several percent of a core.
    config.set("scheduler.policy", caf::atom("sharing"));
    return config;
}

/// Makes blocking calls to the platform in an actor with its own thread, so that the control actor never waits for them.
caf::behavior runStoreReader(caf::event_based_actor *self, const caf::actor &owner, const endpoint &platform)
{
    auto client = std::make_shared<store_client>(platform);
    return {
        [=](const store_read_request &request) {
            auto answer = std::make_shared<result<std::optional<stored_config>>>(client->read(request.afterRevision, request.wait));
            self->send(owner, store_read_result{std::move(answer)});
        },
        [=](read_vms_atom) {
            auto answer = std::make_shared<result<std::vector<listed_vm>>>(client->readVms());
            self->send(owner, vm_list_result{std::move(answer)});
        },
    };
}

/// @return whether the target drains, or nothing if it did not answer
std::optional<probe_result> probe(backend_client &client, const probe_request &probed)
{
    backend_request request;
    request.method = "GET";
    request.target = "/healthz";
    request.deadline = clockNow() + probeTimeout;
    const backend_result outcome = client.send(probed.address, request);
    const auto *answer = std::get_if<backend_answer>(&outcome);
    if (answer == nullptr) {
        return std::nullopt;
    }
    const auto body = nlohmann::json::parse(answer->body, nullptr, false);
    const bool isDraining = body.is_object() && body.value("state", "") == "draining";
    return probe_result{probed.serviceNumber, probed.target, isDraining};
}

/// Sends the health probes of a batch one after the other and reports all results together.
caf::behavior runProber(caf::event_based_actor *self, const caf::actor &owner)
{
    auto client = std::make_shared<backend_client>(backend_limits{});
    return {
        [=](const probe_batch &batch) {
            probe_results report;
            for (const auto &target : batch.requests) {
                if (const auto finished = probe(*client, target)) {
                    report.results.push_back(*finished);
                }
            }
            self->send(owner, report);
        },
    };
}

struct worker_actors
{
    caf::actor configReader;
    caf::actor vmReader;
    caf::actor prober;
    bool isProbing = false;
};

void tick(caf::event_based_actor *self, node_controller &controller, worker_actors &workers)
{
    const instant now = clockNow();
    controller.tick(now);
    if (const auto read = controller.takeDueRead(now)) {
        self->send(workers.configReader, *read);
    }
    if (controller.takeDueVmRead(now)) {
        self->send(workers.vmReader, read_vms_atom::value);
    }
    if (!workers.isProbing) {
        probe_batch batch{controller.takeDueProbes(now)};
        if (!batch.requests.empty()) {
            workers.isProbing = true;
            self->send(workers.prober, std::move(batch));
        }
    }
    self->delayed_send(self, tickPeriod, tick_atom::value);
}

caf::behavior runControl(caf::event_based_actor *self, const std::shared_ptr<node_controller> &controller, const endpoint &platform)
{
    auto workers = std::make_shared<worker_actors>();
    const auto owner = caf::actor_cast<caf::actor>(self);
    workers->configReader = self->spawn<caf::detached + caf::linked>(runStoreReader, owner, platform);
    workers->vmReader = self->spawn<caf::detached + caf::linked>(runStoreReader, owner, platform);
    workers->prober = self->spawn<caf::detached + caf::linked>(runProber, owner);
    self->send(self, tick_atom::value);
    return {
        [=](tick_atom) { tick(self, *controller, *workers); },
        [=](const peer_bytes &message) { controller->receive(message.bytes, message.peer, clockNow()); },
        [=](const connection_closed &closed) { controller->handleConnectionClosed(closed.peer); },
        [=](const store_read_result &a) { controller->handleConfigRead(*a.answer, clockNow()); },
        [=](const vm_list_result &a) { controller->handleVmList(*a.answer, clockNow()); },
        [=](const probe_results &report) {
            workers->isProbing = false;
            controller->handleProbeResults(report.results, clockNow());
        },
        [=](leave_atom) { controller->leave(clockNow()); },
        [=](const status_request &request) { request.reply->set_value(controller->status(clockNow())); },
    };
}

} // namespace

class control_plane::implementation
{
public:
    explicit implementation(control_context context)
        : m_context(std::move(context))
        , m_config(makeConfig())
        , m_system(m_config)
        , m_transport(transport_callbacks{[this](std::string bytes, std::string peer) {
                                              caf::anon_send(m_control, peer_bytes{std::move(bytes), std::move(peer)});
                                          },
                                          [this](endpoint peer) { caf::anon_send(m_control, connection_closed{std::move(peer)}); }})
    {
    }

    ~implementation()
    {
        stop();
    }

    result<void> start()
    {
        auto controller = std::make_shared<node_controller>(m_context, m_transport);
        m_control = m_system.spawn(runControl, controller, m_context.configuration.platform);
        return m_transport.listen(m_context.configuration.peer);
    }

    void leave()
    {
        caf::anon_send(m_control, leave_atom::value);
    }

    std::string status()
    {
        auto reply = std::make_shared<std::promise<std::string>>();
        std::future<std::string> answer = reply->get_future();
        caf::anon_send(m_control, status_request{std::move(reply)});
        if (answer.wait_for(statusTimeout) != std::future_status::ready) {
            return {};
        }
        return answer.get();
    }

    void stop()
    {
        if (m_isStopped) {
            return;
        }
        m_isStopped = true;
        if (!m_transport.stop()) {
            logEvent(log_level::warn, "transport_not_closed",
                     {{"reason", "sockets to other nodes were not closed in time; the exit closes them"}});
        }
        caf::anon_send_exit(m_control, caf::exit_reason::user_shutdown);
    }

private:
    control_context m_context;
    caf::actor_system_config m_config;
    caf::actor_system m_system;
    caf::actor m_control;
    peer_transport m_transport;
    bool m_isStopped = false;
};

control_plane::control_plane(control_context context)
    : m_implementation(std::make_unique<implementation>(std::move(context)))
{
}

control_plane::~control_plane() = default;

result<void> control_plane::start()
{
    return m_implementation->start();
}

void control_plane::leave()
{
    m_implementation->leave();
}

std::string control_plane::status()
{
    return m_implementation->status();
}

void control_plane::stop()
{
    m_implementation->stop();
}

} // namespace flamingofield
