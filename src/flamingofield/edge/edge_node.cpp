#include "edge/edge_node.hpp"

#include "core/hash.hpp"
#include "edge/directory.hpp"
#include "edge/shared_knowledge.hpp"
#include "edge/stop_sequence.hpp"
#include "mesh/mesh_socket.hpp"
#include "report/log.hpp"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace flamingofield {

namespace {

/// Pace of the tables' systems while requests are in flight; bounds how late a time-out is noticed.
constexpr milliseconds busyTick{15};
/// The same for an idle node, where only messages to peers are due.
constexpr milliseconds idleTick{50};
/// Pace of the checks of client connections.
constexpr milliseconds connectionTick{250};
/// How long callers may keep an address answer; short, since any VM may go at any time.
constexpr seconds addressTtl{2};
/// A node that knows fewer live members than this asks for more.
constexpr std::size_t fewMembers = 2;
constexpr milliseconds peerFetchTimeout{600};
/// Pace at which members are listed to other data centres.
constexpr milliseconds farMembersInterval{1000};

std::uint32_t capacityOf(const edge_settings &settings)
{
    return static_cast<std::uint32_t>(std::max(1.0, settings.cores * mesh_member::wholeCore));
}

http_exchange_answer statusOnly(int status)
{
    http_exchange_answer answer;
    answer.status = status;
    return answer;
}

} // namespace

class edge_node::implementation
{
public:
    implementation(boost::asio::io_context &loop, edge_settings settings, edge_surface surface, store_calls store)
        : m_loop(loop)
        , m_settings(std::move(settings))
        , m_surface(std::move(surface))
        , m_incarnation(static_cast<std::uint64_t>(
              std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()))
        , m_targets(m_settings.dataCentre, hashOf(m_settings.address))
        , m_retries(m_settings.retries)
        , m_relay(loop, m_surface.fields, m_targets, m_retries, m_outcomes, m_connections, m_metrics)
        , m_members({toNodeAddress(m_settings.address), m_settings.dataCentre, m_incarnation, false, capacityOf(m_settings), 0},
                    toNodeAddresses(m_settings.seeds))
        , m_mesh(loop, [this](const mesh_message &message) { heard(message); })
        , m_knowledge(
              std::move(store), [this](node_address peer, const std::string &path, auto onEnd) { fetch(peer, path, std::move(onEnd)); },
              [this](std::shared_ptr<const active_config> config) { takeConfig(std::move(config)); },
              [this](const target_snapshot &snapshot) { takeTargets(snapshot); }, m_settings.heartbeat, std::chrono::steady_clock::now(),
              std::chrono::steady_clock::now() + reading_schedule::firstReadAfter(m_settings.isFirstStart, hashOf(m_settings.address)))
        , m_gate(
              loop, [this] { return m_limits; }, [this](const auto &pending) { handleGate(pending); })
        , m_readiness(
              loop, [] { return client_connection_limits(); }, [this](const auto &pending) { handleReadiness(pending); })
        , m_directory(
              loop, [] { return client_connection_limits(); }, [this](const auto &pending) { handleDirectory(pending); })
        , m_peers(
              loop, [] { return client_connection_limits(); }, [this](const auto &pending) { handlePeer(pending); })
        , m_metricsPage(
              loop, [] { return client_connection_limits(); }, [this](const auto &pending) { handleMetrics(pending); })
        , m_timer(loop)
    {
    }

    result<void> start()
    {
        m_targets.setFloorShare(m_settings.floorShare);
        if (!m_settings.isFirstStart) {
            m_retries.setRestartedAt(std::chrono::steady_clock::now());
        }
        const endpoint mesh{m_settings.address, m_settings.meshPort};
        BOOST_OUTCOME_TRYV(m_mesh.start(mesh));
        BOOST_OUTCOME_TRYV(m_peers.start(mesh));
        BOOST_OUTCOME_TRYV(m_gate.start(m_settings.gate));
        if (m_settings.readiness.port != 0 && !(m_settings.readiness == m_settings.gate)) {
            BOOST_OUTCOME_TRYV(m_readiness.start(m_settings.readiness));
        }
        if (m_settings.directory.port != 0) {
            BOOST_OUTCOME_TRYV(m_directory.start(m_settings.directory));
        }
        if (m_settings.metrics.port != 0) {
            BOOST_OUTCOME_TRYV(m_metricsPage.start(m_settings.metrics));
        }
        logEvent(log_level::info, "started",
                 {{"address", m_settings.address},
                  {"gate", toString(m_settings.gate)},
                  {"data_centre", m_settings.dataCentre},
                  {"incarnation", std::to_string(m_incarnation)},
                  {"seeds", std::to_string(m_settings.seeds.size())}});
        tick();
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    void reload(const edge_settings &settings)
    {
        m_settings.retries = settings.retries;
        m_settings.gracePeriod = settings.gracePeriod;
        m_retries.setTerms(settings.retries);
        m_targets.setFloorShare(settings.floorShare);
        logEvent(log_level::info, "reloaded", {{"retry_ratio", std::to_string(settings.retries.ratio)}});
    }

    void stop()
    {
        if (m_stop.isRunning()) {
            return;
        }
        const instant now = std::chrono::steady_clock::now();
        m_stop.begin(now);
        logEvent(log_level::info, "stopping",
                 {{"in_flight", std::to_string(m_relay.inFlight())}, {"grace_ms", std::to_string(toMilliseconds(m_settings.gracePeriod))}});
        m_members.setReady(false);
        m_gate.beginDraining();
        m_members.hurry();
        tellPeers(now);
    }

private:
    bool isReady() const
    {
        return !m_stop.isRunning() && m_knowledge.isComplete();
    }

    void tick()
    {
        const instant now = std::chrono::steady_clock::now();
        m_relay.setTargetsAge(m_knowledge.targetsAge(now));
        m_relay.tick(now);
        if (now - m_rolesAt >= idleTick) {
            m_rolesAt = now;
            updateRoles(now);
        }
        m_knowledge.tick(m_rank, now);
        tellPeers(now);
        if (now - m_connectionsAt >= connectionTick) {
            m_connectionsAt = now;
            for (listener *each : {&m_gate, &m_readiness, &m_directory, &m_peers, &m_metricsPage}) {
                each->tick(now);
            }
            m_connections.expire(now);
        }
        if (proceedStop(now)) {
            return;
        }
        m_timer.expires_after(m_relay.inFlight() > 0 ? busyTick : idleTick);
        m_timer.async_wait([this](boost::system::error_code aborted) {
            if (!aborted) {
                tick();
            }
        });
    }

    void updateRoles(instant now)
    {
        m_members.setReady(isReady());
        for (const node_address peer : m_members.takeLost(now)) {
            logEvent(log_level::warn, "peer_lost",
                     {{"peer", toText(peer)}, {"silent_ms", std::to_string(member_table::memberLease.count())}});
        }
        m_rank = m_members.readerRank(now);
        m_hubs = m_members.readyHubs(now);
        const trial_duty trials = trialDuty();
        const bool isHub = trials.triers > 0;
        if (isHub != m_isHub) {
            m_isHub = isHub;
            logEvent(
                log_level::info, isHub ? "hub_duty_taken" : "hub_duty_left",
                {{"rank", std::to_string(m_rank)}, {"live", std::to_string(m_members.live(now))}, {"hubs", std::to_string(m_hubs.size())}});
        }
        const std::size_t nodes = std::max<std::size_t>(1, m_hubs.size() + (isHub ? 0 : 1));
        m_targets.setTrials(trials);
        m_relay.setShare({1.0 / static_cast<double>(nodes), budgetSharers(isHub, m_hubs.size(), m_members.live(now))});
    }

    /// Hubs share the trials of unused targets; other nodes do not hear enough to make any.
    trial_duty trialDuty() const
    {
        const auto self
            = std::find_if(m_hubs.begin(), m_hubs.end(), [&](const mesh_member &hub) { return hub.address == m_members.self().address; });
        if (self == m_hubs.end()) {
            return {};
        }
        return {m_hubs.size(), static_cast<std::size_t>(self - m_hubs.begin())};
    }

    /// @return true if the process is done
    bool proceedStop(instant now)
    {
        switch (m_stop.next(m_settings.gracePeriod, m_gate.pending(), now)) {
        case stop_step::none:
            break;
        case stop_step::refuseNew:
            m_gate.stopAccepting();
            m_relay.refuseNew();
            break;
        case stop_step::abandon:
            m_relay.abandonAll();
            break;
        case stop_step::end:
            logEvent(log_level::info, "stopped", {{"after_ms", std::to_string(toMilliseconds(m_stop.since(now)))}});
            m_loop.stop();
            return true;
        }
        return false;
    }

    void tellPeers(instant now)
    {
        if (m_targets.takeUrgentNews()) {
            m_members.hurryToHubs(now);
        }
        const auto due = m_members.takeDue(m_relay.inFlight() > 0, now);
        if (due.empty()) {
            return;
        }
        mesh_message message;
        message.sender = m_members.self();
        message.isLeaving = m_stop.isRunning();
        message.wantsReply = m_members.live(now) < fewMembers;
        message.knowledge = m_knowledge.tell(now);
        message.targets = m_targets.tell(now);
        for (const auto &[service, counts] : m_retries.tell(now)) {
            message.services.push_back({service, counts, m_outcomes.own(service, now)});
        }
        std::string near;
        std::string far;
        for (const node_address address : due) {
            const bool isNear = m_members.isInOwnDataCentre(address) || message.wantsReply;
            std::string &bytes = isNear ? near : far;
            if (bytes.empty()) {
                // Hubs elsewhere hear each other directly; the list is only for those that miss some.
                const bool tellsMembers = isNear || now - m_toldFarAt >= farMembersInterval;
                m_toldFarAt = !isNear && tellsMembers ? now : m_toldFarAt;
                message.beliefs = isNear && m_isHub ? m_targets.beliefs(now) : std::string();
                message.members = tellsMembers ? m_members.membersToTell(isNear, now) : std::vector<mesh_member>();
                bytes = encode(message);
            }
            m_mesh.send({toText(address), m_settings.meshPort}, bytes);
        }
    }

    void heard(const mesh_message &message)
    {
        const instant now = std::chrono::steady_clock::now();
        if (m_members.heard(message, now)) {
            logEvent(log_level::info, "peer_regained",
                     {{"peer", toText(message.sender.address)},
                      {"data_centre", message.sender.dataCentre},
                      {"incarnation", std::to_string(message.sender.incarnation)}});
        }
        if (message.isLeaving) {
            logEvent(log_level::info, "peer_leaving", {{"peer", toText(message.sender.address)}});
        }
        m_knowledge.heard(message.sender.address, message.knowledge, now);
        m_targets.told(message.sender.address, message.targets, now);
        for (const auto &row : message.services) {
            m_retries.told(message.sender.address, row.service, row.retries, now);
            m_outcomes.told(message.sender.address, row.service, row.outcomes, now);
        }
        if (!m_isHub && !message.beliefs.empty() && message.knowledge.targetsDigest == m_knowledge.tell(now).targetsDigest) {
            m_targets.adoptBeliefs(message.beliefs, now);
        }
        if (message.wantsReply) {
            reply(message.sender.address, now);
        }
    }

    void reply(node_address address, instant now)
    {
        mesh_message answer;
        answer.sender = m_members.self();
        answer.isLeaving = m_stop.isRunning();
        answer.knowledge = m_knowledge.tell(now);
        answer.members = m_members.membersToTell(true, now);
        m_mesh.send({toText(address), m_settings.meshPort}, encode(answer));
    }

    void fetch(node_address peer, const std::string &path, std::function<void(result<http_exchange_answer>)> onEnd)
    {
        exchange_options options;
        const endpoint address{toText(peer), m_settings.meshPort};
        options.poolKey = "mesh@" + toString(address);
        options.longestIdle = seconds(2);
        http_exchange_request request;
        request.method = "GET";
        request.target = path;
        request.fields.add("Host", toString(address));
        runWithTimeout(m_loop, m_connections, address, options, request, peerFetchTimeout, std::move(onEnd));
    }

    void takeConfig(std::shared_ptr<const active_config> config)
    {
        const client_limits &limits = config->config.limits;
        m_limits.headerBytes = limits.headerBytes;
        m_limits.bodyBytes = limits.bodyBytes;
        m_limits.headerTimeout = limits.headerTimeout;
        m_limits.idleTimeout = limits.idleTimeout;
        m_relay.setConfig(std::move(config));
        m_members.setReady(isReady());
        m_members.hurry();
    }

    void takeTargets(const target_snapshot &snapshot)
    {
        const auto changed = m_targets.apply(snapshot, std::chrono::steady_clock::now());
        std::string ids;
        constexpr std::size_t mostListed = 20;
        for (std::size_t i = 0; i < std::min(changed.size(), mostListed); ++i) {
            ids += (i == 0 ? "" : ",") + changed[i];
        }
        logEvent(log_level::info, "targets_changed", {{"count", std::to_string(changed.size())}, {"ids", ids}});
        m_members.setReady(isReady());
        m_members.hurry();
    }

    void handleGate(const std::shared_ptr<pending_request> &pending)
    {
        if (m_surface.isReadinessCall(pending->request())) {
            handleReadiness(pending);
        } else {
            m_relay.handle(pending);
        }
    }

    void handleReadiness(const std::shared_ptr<pending_request> &pending)
    {
        const bool isCall = m_surface.isReadinessCall(pending->request());
        pending->answer(statusOnly(!isCall ? 404 : isReady() ? 200 : 503));
    }

    void handleDirectory(const std::shared_ptr<pending_request> &pending)
    {
        const auto query = m_surface.parseDirectoryCall(pending->request());
        if (!query) {
            pending->answer(statusOnly(m_surface.isReadinessCall(pending->request()) ? (isReady() ? 200 : 503) : 404));
            return;
        }
        auto addresses = directoryAddresses(m_hubs, query->dataCentre, m_settings.gate.port);
        if (addresses.empty() && isReady()) {
            addresses.push_back(m_settings.gate);
        }
        if (addresses.empty()) {
            pending->answer(statusOnly(503));
            return;
        }
        pending->answer(m_surface.directoryAnswer(addresses, std::min(addressTtl, m_settings.longestAddressTtl)));
    }

    void handlePeer(const std::shared_ptr<pending_request> &pending)
    {
        pending->answer(m_knowledge.serve(pending->request().target));
    }

    void handleMetrics(const std::shared_ptr<pending_request> &pending)
    {
        const instant now = std::chrono::steady_clock::now();
        m_metrics.gauge("flamingofield_targets_age_seconds", "", toSeconds(m_knowledge.targetsAge(now)));
        m_metrics.gauge("flamingofield_config_age_seconds", "", toSeconds(m_knowledge.configAge(now)));
        m_metrics.gauge("flamingofield_requests_in_flight", "", static_cast<double>(m_relay.inFlight()));
        m_metrics.gauge("flamingofield_requests_waiting", "", static_cast<double>(m_relay.waiting()));
        m_metrics.gauge("flamingofield_live_peers", "", static_cast<double>(m_members.live(now)));
        m_metrics.gauge("flamingofield_client_connections", "", static_cast<double>(m_gate.connections()));
        m_metrics.gauge("flamingofield_idle_target_connections", "", static_cast<double>(m_connections.size()));
        m_metrics.gauge("flamingofield_log_lines_dropped", "", static_cast<double>(droppedLogLines()));
        http_exchange_answer answer = statusOnly(200);
        answer.fields.add("Content-Type", "text/plain; version=0.0.4");
        answer.body = m_metrics.text();
        pending->answer(answer);
    }

    boost::asio::io_context &m_loop;
    edge_settings m_settings;
    edge_surface m_surface;
    std::uint64_t m_incarnation;
    relay_metrics m_metrics;
    connection_pool m_connections;
    target_table m_targets;
    retry_ledger m_retries;
    outcome_window m_outcomes;
    relay m_relay;
    member_table m_members;
    mesh_socket m_mesh;
    shared_knowledge m_knowledge;
    client_connection_limits m_limits;
    listener m_gate;
    listener m_readiness;
    listener m_directory;
    listener m_peers;
    listener m_metricsPage;
    boost::asio::steady_timer m_timer;
    std::vector<mesh_member> m_hubs;
    std::size_t m_rank = 0;
    instant m_rolesAt{};
    instant m_connectionsAt{};
    instant m_toldFarAt{};
    bool m_isHub = false;
    stop_sequence m_stop;
};

edge_node::edge_node(boost::asio::io_context &loop, edge_settings settings, edge_surface surface, store_calls store)
    : m_implementation(std::make_unique<implementation>(loop, std::move(settings), std::move(surface), std::move(store)))
{
}

edge_node::~edge_node() = default;

result<void> edge_node::start()
{
    return m_implementation->start();
}

void edge_node::reload(const edge_settings &settings)
{
    m_implementation->reload(settings);
}

void edge_node::stop()
{
    m_implementation->stop();
}

} // namespace flamingofield
