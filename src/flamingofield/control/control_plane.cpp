#include "control/control_plane.hpp"

#include "control/control_tables.hpp"
#include "gate/backend_client.hpp"

#include <caf/all.hpp>

#include <nlohmann/json.hpp>

#include <future>

namespace flamingofield {

/// Messages between the actors of one process; they never leave it.
struct peer_bytes
{
    std::string bytes;
    std::string peer;
};
struct pipe_closed
{
    endpoint peer;
};
struct store_answer
{
    std::shared_ptr<result<std::optional<stored_text>>> answer;
};
struct vm_answer
{
    std::shared_ptr<result<std::vector<listed_vm>>> answer;
};
struct probe_orders
{
    std::vector<probe_order> orders;
};
struct probe_findings
{
    std::vector<probe_finding> findings;
};
struct status_request
{
    std::shared_ptr<std::promise<std::string>> reply;
};

} // namespace flamingofield

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(flamingofield::peer_bytes)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(flamingofield::pipe_closed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(flamingofield::store_answer)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(flamingofield::vm_answer)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(flamingofield::probe_orders)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(flamingofield::probe_findings)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(flamingofield::status_request)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(flamingofield::read_order)

namespace flamingofield {

namespace {

using tick_atom = caf::atom_constant<caf::atom("tick")>;
using read_vms_atom = caf::atom_constant<caf::atom("readvms")>;
using leave_atom = caf::atom_constant<caf::atom("leave")>;

constexpr milliseconds tickPeriod{50};
constexpr milliseconds probeTimeout{500};
constexpr seconds statusTimeout{2};

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

/// Waits in calls to the platform, so that no other actor has to.
caf::behavior runStoreReader(caf::event_based_actor *self, const caf::actor &owner, const endpoint &platform)
{
    auto client = std::make_shared<store_client>(platform);
    return {
        [=](const read_order &order) {
            auto answer = std::make_shared<result<std::optional<stored_text>>>(client->read(order.afterRevision, order.wait));
            self->send(owner, store_answer{std::move(answer)});
        },
        [=](read_vms_atom) {
            auto answer = std::make_shared<result<std::vector<listed_vm>>>(client->readVms());
            self->send(owner, vm_answer{std::move(answer)});
        },
    };
}

std::optional<probe_finding> probe(backend_client &client, const probe_order &order)
{
    backend_request request;
    request.method = "GET";
    request.target = "/healthz";
    request.deadline = clockNow() + probeTimeout;
    const backend_result outcome = client.send(order.address, request);
    const auto *answer = std::get_if<backend_answer>(&outcome);
    if (answer == nullptr) {
        return std::nullopt;
    }
    const auto body = nlohmann::json::parse(answer->body, nullptr, false);
    const bool isDraining = body.is_object() && body.value("state", "") == "draining";
    return probe_finding{order.row, order.target, isDraining};
}

/// Sends health probes, one after the other.
caf::behavior runProber(caf::event_based_actor *self, const caf::actor &owner)
{
    auto client = std::make_shared<backend_client>(backend_limits{});
    return {
        [=](const probe_orders &batch) {
            probe_findings found;
            for (const auto &order : batch.orders) {
                if (const auto finding = probe(*client, order)) {
                    found.findings.push_back(*finding);
                }
            }
            self->send(owner, found);
        },
    };
}

struct helpers
{
    caf::actor configReader;
    caf::actor vmReader;
    caf::actor prober;
    bool isProbing = false;
};

void tick(caf::event_based_actor *self, control_tables &tables, helpers &aids)
{
    const instant now = clockNow();
    tables.tick(now);
    if (const auto order = tables.takeDueRead(now)) {
        self->send(aids.configReader, *order);
    }
    if (tables.takeDueVmRead(now)) {
        self->send(aids.vmReader, read_vms_atom::value);
    }
    if (!aids.isProbing) {
        probe_orders batch{tables.takeDueProbes(now)};
        if (!batch.orders.empty()) {
            aids.isProbing = true;
            self->send(aids.prober, std::move(batch));
        }
    }
    self->delayed_send(self, tickPeriod, tick_atom::value);
}

caf::behavior runControl(caf::event_based_actor *self, const std::shared_ptr<control_tables> &tables, const endpoint &platform)
{
    auto aids = std::make_shared<helpers>();
    const auto owner = caf::actor_cast<caf::actor>(self);
    aids->configReader = self->spawn<caf::detached + caf::linked>(runStoreReader, owner, platform);
    aids->vmReader = self->spawn<caf::detached + caf::linked>(runStoreReader, owner, platform);
    aids->prober = self->spawn<caf::detached + caf::linked>(runProber, owner);
    self->send(self, tick_atom::value);
    return {
        [=](tick_atom) { tick(self, *tables, *aids); },
        [=](const peer_bytes &message) { tables->receive(message.bytes, message.peer, clockNow()); },
        [=](const pipe_closed &closed) { tables->notePipeClosed(closed.peer); },
        [=](const store_answer &a) { tables->takeStoreAnswer(*a.answer, clockNow()); },
        [=](const vm_answer &a) { tables->takeVms(*a.answer, clockNow()); },
        [=](const probe_findings &found) {
            aids->isProbing = false;
            tables->takeProbes(found.findings, clockNow());
        },
        [=](leave_atom) { tables->leave(clockNow()); },
        [=](const status_request &request) { request.reply->set_value(tables->status(clockNow())); },
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
        , m_link(link_events{[this](std::string bytes, std::string peer) {
                                 caf::anon_send(m_control, peer_bytes{std::move(bytes), std::move(peer)});
                             },
                             [this](endpoint peer) { caf::anon_send(m_control, pipe_closed{std::move(peer)}); }})
    {
    }

    ~implementation()
    {
        stop();
    }

    result<void> start()
    {
        auto tables = std::make_shared<control_tables>(m_context, m_link);
        m_control = m_system.spawn(runControl, tables, m_context.configuration.platform);
        return m_link.listen(m_context.configuration.peer);
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
        m_link.stop();
        caf::anon_send_exit(m_control, caf::exit_reason::user_shutdown);
    }

private:
    control_context m_context;
    caf::actor_system_config m_config;
    caf::actor_system m_system;
    caf::actor m_control;
    peer_link m_link;
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
