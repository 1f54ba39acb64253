#include "edge/edge_node.hpp"

#include "balance/report_changes.hpp"
#include "core/hash.hpp"
#include "edge/account_quotas.hpp"
#include "edge/allocator.hpp"
#include "edge/descriptor_shares.hpp"
#include "edge/directory.hpp"
#include "edge/fleet_state.hpp"
#include "edge/stop_sequence.hpp"
#include "mesh/mesh_socket.hpp"
#include "report/log.hpp"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <variant>

namespace flamingofield {

namespace {

/// Tick interval while requests are in flight; bounds how late a request timeout is detected.
constexpr milliseconds busyTickInterval{15};
/// Tick interval without requests in flight, when only messages to peers are due; also the interval of role updates.
constexpr milliseconds idleTickInterval{50};
constexpr milliseconds connectionCheckInterval{250};
/// Interval at which the shares between data centres are moved; about that of the reports on which they are based.
constexpr milliseconds shareInterval{250};
/// TTL of address answers; short because any VM may disappear at any time.
constexpr seconds addressTtl{2};
constexpr milliseconds peerFetchTimeout{600};
/// Interval at which free memory of the allocator is returned, if there is much of it, and the budget is fitted to what the rest takes.
constexpr milliseconds memoryCheckInterval{1000};
/// A node that has heard from no peer for this long depends on its own reads of the store; below the limits within which it must learn
/// of changes.
constexpr milliseconds peerNewsLifetime{1000};
/// Interval at which messages between hubs include the member list; hubs exchange messages directly and need it only to discover hubs
/// that they miss.
constexpr milliseconds hubMembersInterval{1000};
/// The same for messages to followers, which know their hub's successors from these lists only.
constexpr milliseconds followerMembersInterval{500};

std::uint32_t millicoresOf(const edge_settings &settings)
{
    return static_cast<std::uint32_t>(std::max(1.0, settings.cores * mesh_member::millicoresPerCore));
}

bool hasOtherSeeds(const edge_settings &settings)
{
    return std::any_of(settings.seeds.begin(), settings.seeds.end(), [&](const std::string &seed) { return seed != settings.address; });
}

constexpr double percent = 100.0;

std::string ageText(duration age)
{
    return age == duration::max() ? "unknown" : std::to_string(toMilliseconds(age));
}

http_answer_message answerWithStatus(int status)
{
    http_answer_message answer;
    answer.status = status;
    return answer;
}

} // namespace

class edge_node::implementation
{
public:
    implementation(boost::asio::io_context &loop, edge_settings settings, edge_http_interface httpInterface, store_calls store)
        : m_loop(loop)
        , m_settings(std::move(settings))
        , m_interface(std::move(httpInterface))
        , m_incarnation(static_cast<std::uint64_t>(
              std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()))
        , m_memory(std::make_shared<memory_budget>(memory_budget::limitFor(m_settings.memoryBytes)))
        , m_targets(m_settings.dataCentre, hashOf(m_settings.address))
        , m_retries(m_settings.retries)
        , m_requestProxy(loop, m_interface.fields, m_targets, m_retries, m_outcomes, m_connections, m_metrics)
        , m_members({toNodeAddress(m_settings.address), m_settings.dataCentre, m_incarnation, false, millicoresOf(m_settings), 0},
                    toNodeAddresses(m_settings.seeds))
        , m_storeBytes(store.transferredBytes)
        , m_mesh(loop,
                 [this](const mesh_datagram &datagram) { std::visit([this](const auto &message) { handleMessage(message); }, datagram); })
        , m_quotas(
              toNodeAddress(m_settings.address), m_incarnation, hasOtherSeeds(m_settings),
              [this](node_address peer, const std::string &bytes) { sendBytes(peer, bytes); }, std::chrono::steady_clock::now())
        , m_fleetState(
              std::move(store), [this](node_address peer, const std::string &path, auto onEnd) { fetch(peer, path, std::move(onEnd)); },
              [this](std::shared_ptr<const active_config> config) { applyConfig(std::move(config)); },
              [this](const target_snapshot &snapshot) { applyTargets(snapshot); }, m_settings.heartbeat, std::chrono::steady_clock::now(),
              first_reads{m_settings.isFirstStart, hashOf(m_settings.address)})
        , m_gate(
              loop, [this] { return m_limits; }, [this](const auto &pending) { handleGate(pending); })
        , m_readiness(
              loop, [this] { return ownLimits(); }, [this](const auto &pending) { handleReadiness(pending); })
        , m_directory(
              loop, [this] { return ownLimits(); }, [this](const auto &pending) { handleDirectory(pending); })
        , m_peers(
              loop, [this] { return ownLimits(); }, [this](const auto &pending) { handlePeer(pending); })
        , m_metricsPage(
              loop, [this] { return ownLimits(); }, [this](const auto &pending) { handleMetrics(pending); })
        , m_timer(loop)
    {
    }

    result<void> start()
    {
        m_targets.setFloorShare(m_settings.floorShare);
        m_requestProxy.setMemory(m_memory);
        setListenerBounds();
        m_limits = ownLimits();
        m_quotas.setRules(m_settings.quotas);
        m_requestProxy.setQuotas(&m_quotas.table());
        m_requestProxy.setMaxEarlyShare(m_settings.maxEarlyShare);
        if (!m_settings.isFirstStart) {
            m_retries.setRestartedAt(std::chrono::steady_clock::now());
        }
        const endpoint mesh{m_settings.address, m_settings.meshPort};
        BOOST_OUTCOME_TRYV(m_mesh.start(mesh));
        BOOST_OUTCOME_TRYV(m_peers.start(mesh));
        BOOST_OUTCOME_TRYV(m_gate.start(m_settings.gate));
        if (hasReadinessAddress()) {
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
        m_limits.closeTimeout = settings.gracePeriod;
        m_settings.quotas = settings.quotas;
        m_quotas.setRules(settings.quotas);
        m_retries.setLimits(settings.retries);
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
                 {{"in_flight", std::to_string(m_requestProxy.inFlight())},
                  {"grace_ms", std::to_string(toMilliseconds(m_settings.gracePeriod))}});
        m_members.setReady(false);
        m_gate.beginDraining();
        m_members.makeAllMessagesDue();
        sendToPeers(now);
    }

private:
    /// Divides the process's descriptors among the listeners; all of them share the memory budget.
    void setListenerBounds()
    {
        const descriptor_shares shares(m_settings.fileDescriptors);
        for (const auto &[each, connections] :
             {std::pair(&m_gate, shares.clients), std::pair(&m_directory, shares.directory), std::pair(&m_peers, shares.peers),
              std::pair(&m_readiness, shares.readiness), std::pair(&m_metricsPage, shares.metrics)}) {
            each->setBounds({m_memory, connections, [this](std::string_view reason) {
                                 m_metrics.count("flamingofield_client_refusals_total", "reason=\"" + std::string(reason) + "\"");
                             }});
        }
    }

    /// Limits of connections that the configuration does not cover.
    client_connection_limits ownLimits() const
    {
        client_connection_limits limits;
        limits.closeTimeout = m_settings.gracePeriod;
        return limits;
    }

    bool isReady() const
    {
        return !m_stop.isRunning() && m_fleetState.hasConfigAndTargets();
    }

    void tick()
    {
        const instant now = std::chrono::steady_clock::now();
        m_requestProxy.setTargetsAge(m_fleetState.targetsAge(now));
        m_requestProxy.tick(now);
        if (now - m_rolesUpdatedAt >= idleTickInterval) {
            m_rolesUpdatedAt = now;
            updateRoles(now);
        }
        if (m_settings.shares.isSet() && now - m_sharesUpdatedAt >= shareInterval) {
            m_sharesUpdatedAt = now;
            updateShares(now);
        }
        const bool hearsPeers = now - m_peerHeardAt < peerNewsLifetime;
        m_fleetState.tick({m_readerPosition, hearsPeers ? m_members.liveNodes(now) : 0}, now);
        sendToPeers(now);
        m_quotas.tick(now);
        if (now - m_connectionsCheckedAt >= connectionCheckInterval) {
            m_connectionsCheckedAt = now;
            for (listener *each : {&m_gate, &m_readiness, &m_directory, &m_peers, &m_metricsPage}) {
                each->tick(now);
            }
            m_connections.closeExpired(now);
        }
        if (now - m_memoryCheckedAt >= memoryCheckInterval) {
            m_memoryCheckedAt = now;
            m_memoryReturn.update(m_memory->takePeak(), m_memory->reserved());
            const std::size_t resident = residentBytes();
            m_memory->setLimit(memory_budget::limitFor(m_settings.memoryBytes, resident - std::min(resident, m_memory->reserved())));
        }
        if (advanceStop(now)) {
            return;
        }
        m_timer.expires_after(m_requestProxy.inFlight() > 0 ? busyTickInterval : idleTickInterval);
        m_timer.async_wait([this](boost::system::error_code aborted) {
            if (!aborted) {
                tick();
            }
        });
    }

    void updateRoles(instant now)
    {
        m_members.setReady(isReady());
        for (const node_address peer : m_members.takeLostMembers(now)) {
            logEvent(log_level::warn, "peer_lost",
                     {{"peer", toText(peer)}, {"silent_ms", std::to_string(toMilliseconds(m_members.silenceOf(peer, now)))}});
        }
        m_readerPosition = m_members.readerPosition(now);
        m_hubs = m_members.readyHubs(now);
        const trial_assignment assignment = trialAssignment();
        // Exactly the ready hubs have a trial assignment.
        const bool isHub = assignment.nodeCount > 0;
        if (isHub != m_isHub) {
            m_isHub = isHub;
            logEvent(log_level::info, isHub ? "hub_duty_taken" : "hub_duty_left",
                     {{"rank", std::to_string(m_readerPosition)},
                      {"live", std::to_string(m_members.livePeerCount(now))},
                      {"hubs", std::to_string(m_hubs.size())}});
        }
        // Callers are directed to the ready hubs; a non-hub that gets requests counts itself too.
        const std::size_t servingNodes = std::max<std::size_t>(1, m_hubs.size() + (isHub ? 0 : 1));
        m_targets.setTrialAssignment(assignment);
        m_quotas.setHubs(m_hubs, isHub, now);
        m_requestProxy.setShare(
            {1.0 / static_cast<double>(servingNodes), nodesSharingRetryBudget(isHub, m_hubs.size(), m_members.liveNodes(now) - 1)});
    }

    /// Only hubs know the work of all nodes, so only they move shares; elsewhere a fixed cost of leaving the data centre applies.
    void updateShares(instant now)
    {
        const auto localHubs
            = std::count_if(m_hubs.begin(), m_hubs.end(), [&](const mesh_member &hub) { return hub.dataCentre == m_settings.dataCentre; });
        const auto nodes = static_cast<std::size_t>(std::max<std::ptrdiff_t>(1, localHubs));
        m_targets.updateShares(m_isHub ? m_requestProxy.serviceTraffic(nodes, now) : std::map<std::string, service_traffic>(),
                               m_settings.shares, now);
        for (const auto &[service, change] : m_targets.takeShareChanges(now)) {
            logEvent(log_level::info, "remote_share_changed",
                     {{"service", service},
                      {"data_centre", change.dataCentre},
                      {"share_percent", std::to_string(std::lround(change.share * percent))},
                      {"reason", std::string(toText(change.reason))},
                      {"age_ms", ageText(change.age)}});
        }
    }

    /// Hubs share the trials of unused targets; other nodes receive too few peers' counts to know which targets are unused.
    trial_assignment trialAssignment() const
    {
        const auto self
            = std::find_if(m_hubs.begin(), m_hubs.end(), [&](const mesh_member &hub) { return hub.address == m_members.self().address; });
        if (self == m_hubs.end()) {
            return {};
        }
        return {m_hubs.size(), static_cast<std::size_t>(self - m_hubs.begin())};
    }

    /// Performs the next step of a planned stop, if one is due.
    /// @return true if the event loop was stopped
    bool advanceStop(instant now)
    {
        switch (m_stop.next(m_settings.gracePeriod, m_stop.isRunning() ? m_gate.unfinished() : 0, now)) {
        case stop_step::none:
            break;
        case stop_step::refuseNew:
            m_gate.stopAccepting();
            m_requestProxy.refuseNew();
            break;
        case stop_step::abandon:
            m_requestProxy.failAllPending();
            break;
        case stop_step::end:
            m_quotas.leave(now);
            logEvent(
                log_level::info, "stopped",
                {{"after_ms", std::to_string(toMilliseconds(m_stop.since(now)))}, {"unfinished", std::to_string(m_gate.unfinished())}});
            m_loop.stop();
            return true;
        }
        return false;
    }

    /// Sends the messages that are due, each encoded once for all recipients of an audience.
    void sendToPeers(instant now)
    {
        sendUrgentReports(now);
        std::map<message_audience, std::string> encoded;
        std::vector<report_recipient> remoteHubs;
        for (const node_address address : m_members.takeDueRecipients(m_requestProxy.inFlight() > 0, now)) {
            const message_audience audience = m_members.audienceOf(address, now);
            if (audience == message_audience::unconfirmed) {
                // Lists the nodes of the recipient's data centre, so it is encoded for each one.
                send(address, requestForReply(m_members.dataCentreOf(address), now));
                continue;
            }
            if (audience == message_audience::remoteHub) {
                remoteHubs.push_back({address, m_members.incarnationOf(address)});
                continue;
            }
            std::string &bytes = encoded[audience];
            if (bytes.empty()) {
                bytes = encode(messageFor(audience, now));
            }
            sendBytes(address, bytes);
        }
        if (!remoteHubs.empty()) {
            sendToRemoteHubs(remoteHubs, now);
        }
    }

    /// Sends the changes since the last messages, since traffic between data centres costs money.
    void sendToRemoteHubs(const std::vector<report_recipient> &hubs, instant now)
    {
        mesh_message message = messageFor(message_audience::remoteHub, now);
        for (peer_report &report : m_reportChanges.takeReports(hubs, message.targets, now)) {
            message.isPartialReport = report.isPartial;
            message.renewsReport = report.isPartial;
            message.targets = std::move(report.rows);
            const std::string bytes = encode(message);
            for (const std::uint64_t peer : report.peers) {
                sendBytes(static_cast<node_address>(peer), bytes);
            }
        }
    }

    void sendBytes(node_address address, const std::string &bytes)
    {
        if (!m_members.isInOwnDataCentre(address)) {
            m_metrics.count(dataCentreBytes, "cause=\"messages\"", bytes.size());
        }
        m_mesh.send({toText(address), m_settings.meshPort}, bytes);
    }

    /// Reports error answers to the other hubs at once, between the regular messages.
    void sendUrgentReports(instant now)
    {
        std::vector<target_report> reports = m_targets.takeUrgentReports();
        if (reports.empty()) {
            return;
        }
        mesh_message message = stateMessage(now);
        message.targets = std::move(reports);
        const std::string bytes = encode(message);
        for (const mesh_member &hub : m_members.readyHubs(now)) {
            if (hub.address != m_members.self().address && m_members.isSendingTo(hub.address)) {
                sendBytes(hub.address, bytes);
            }
        }
    }

    void send(node_address address, const mesh_message &message)
    {
        sendBytes(address, encode(message));
    }

    /// Message with what every message holds, and no reports about targets.
    mesh_message stateMessage(instant now) const
    {
        mesh_message message;
        message.isPartialReport = true;
        message.sender = m_members.self();
        message.isLeaving = m_stop.isRunning();
        message.fleetState = m_fleetState.summaryForPeers(now);
        return message;
    }

    mesh_message requestForReply(const std::string &dataCentre, instant now) const
    {
        mesh_message message = stateMessage(now);
        message.wantsReply = true;
        message.members = m_members.membersForPeer(dataCentre, now);
        return message;
    }

    mesh_message messageFor(message_audience audience, instant now)
    {
        mesh_message message = stateMessage(now);
        for (const auto &[service, counts] : m_retries.reportForPeers(now)) {
            message.services.push_back({service, counts, m_outcomes.own(service, now)});
        }
        if (audience == message_audience::follower) {
            // The estimates are in the order of the targets in use, and the digest tells only which the registry lists.
            message.healthEstimates = m_fleetState.usesRegisteredTargets() ? m_targets.healthEstimates(now) : std::string();
        } else {
            message.targets = m_targets.reportForPeers(now);
            message.isPartialReport = false;
        }
        const bool isHub = m_members.isHub(now);
        // A hub that does not consider this node as its follower must answer, or this node would take it for dead.
        message.wantsReply = !isHub;
        const milliseconds interval = audience == message_audience::follower ? followerMembersInterval : hubMembersInterval;
        instant &listedAt = m_membersSentAt[audience];
        if (isHub && now - listedAt >= interval) {
            listedAt = now;
            message.members
                = m_members.membersForPeer(audience == message_audience::remoteHub ? std::string() : m_settings.dataCentre, now);
        }
        return message;
    }

    void handleMessage(const mesh_message &message)
    {
        const instant now = std::chrono::steady_clock::now();
        const node_address sender = message.sender.address;
        m_peerHeardAt = now;
        switch (m_members.applyMessage(message, now)) {
        case member_change::none:
            break;
        case member_change::regained:
            logEvent(log_level::info, "peer_regained",
                     {{"peer", toText(sender)},
                      {"data_centre", message.sender.dataCentre},
                      {"incarnation", std::to_string(message.sender.incarnation)}});
            break;
        case member_change::leaving:
            logEvent(log_level::info, "peer_leaving", {{"peer", toText(sender)}});
            break;
        }
        m_fleetState.handlePeerSummary(sender, message.fleetState, now);
        if (message.isPartialReport) {
            m_targets.applyPartialPeerReport(sender, message.targets, now);
            if (message.renewsReport && !m_targets.renewPeerReport(sender, now)) {
                requestFullReport(sender, now);
            }
        } else {
            m_targets.applyPeerReport(sender, message.targets, now);
            m_targets.setPeerDataCentre(sender, message.sender.dataCentre);
        }
        for (const auto &row : message.services) {
            m_retries.applyPeerReport(sender, row.service, row.retryCounts, now);
            m_outcomes.applyPeerReport(sender, row.service, row.outcomes, now);
        }
        if (!m_isHub && !message.healthEstimates.empty()
            && message.fleetState.targetsDigest == m_fleetState.summaryForPeers(now).targetsDigest
            && m_fleetState.usesRegisteredTargets()) {
            m_targets.applyHealthEstimates(message.healthEstimates, now);
        }
        if (message.wantsReply) {
            m_reportChanges.startAnew(sender); // It may have received none of this node's messages.
            if (!m_members.isSendingTo(sender)) {
                reply(message.sender, now);
            }
        }
    }

    /// Asks a hub that has sent changes of a report that this node does not have. The hub's next message then holds all rows.
    void requestFullReport(node_address hub, instant now)
    {
        mesh_message request = stateMessage(now);
        request.wantsReply = true;
        send(hub, request);
    }

    void handleMessage(const usage_message &message)
    {
        m_quotas.handleMessage(message, std::chrono::steady_clock::now());
    }

    void reply(const mesh_member &peer, instant now)
    {
        mesh_message answer = stateMessage(now);
        answer.members = m_members.membersForPeer(peer.dataCentre, now);
        send(peer.address, answer);
    }

    void fetch(node_address peer, const std::string &path, std::function<void(result<http_answer_message>)> onEnd)
    {
        exchange_options options;
        const endpoint address{toText(peer), m_settings.meshPort};
        options.poolKey = "mesh@" + toString(address);
        options.maxIdleTime = seconds(2);
        http_request_message request;
        request.method = "GET";
        request.target = path;
        request.fields.add("Host", toString(address));
        const bool isRemote = !m_members.isInOwnDataCentre(peer);
        runWithTimeout(m_loop, m_connections, address, options, request, peerFetchTimeout,
                       [this, isRemote, sent = transferSize(request), onEnd = std::move(onEnd)](result<http_answer_message> answer) {
                           if (isRemote) {
                               m_metrics.count(dataCentreBytes, "cause=\"messages\"", sent + (answer ? transferSize(answer.value()) : 0));
                           }
                           onEnd(std::move(answer));
                       });
    }

    void applyConfig(std::shared_ptr<const active_config> config)
    {
        const client_limits &limits = config->config.limits;
        m_limits.headerBytes = limits.headerBytes;
        m_limits.bodyBytes = limits.bodyBytes;
        m_limits.headerTimeout = limits.headerTimeout;
        m_limits.idleTimeout = limits.idleTimeout;
        m_limits.closeTimeout = m_settings.gracePeriod;
        m_quotas.setAccounts(config->config.accounts, std::chrono::steady_clock::now());
        m_requestProxy.setConfig(std::move(config));
        m_members.setReady(isReady());
        m_members.makeAllMessagesDue();
    }

    void applyTargets(const target_snapshot &snapshot)
    {
        const auto changed = m_targets.apply(snapshot, std::chrono::steady_clock::now());
        std::string ids;
        constexpr std::size_t maxListedIds = 20;
        for (std::size_t i = 0; i < std::min(changed.size(), maxListedIds); ++i) {
            ids += (i == 0 ? "" : ",") + changed[i];
        }
        logEvent(log_level::info, "targets_changed", {{"count", std::to_string(changed.size())}, {"ids", ids}});
        m_members.setReady(isReady());
        m_members.makeAllMessagesDue();
    }

    /// Readiness has an address of its own; if the settings name none, it shares the callers' address, where routes come first.
    bool hasReadinessAddress() const
    {
        return m_settings.readiness.port != 0 && !(m_settings.readiness == m_settings.gate);
    }

    void handleGate(const std::shared_ptr<pending_request> &pending)
    {
        const http_request_message &request = pending->request();
        if (!hasReadinessAddress() && m_interface.isReadinessCall(request) && !m_requestProxy.hasRoute(request)) {
            handleReadiness(pending);
        } else {
            m_requestProxy.handle(pending);
        }
    }

    void handleReadiness(const std::shared_ptr<pending_request> &pending)
    {
        const bool isCall = m_interface.isReadinessCall(pending->request());
        pending->answer(answerWithStatus(!isCall ? 404 : isReady() ? 200 : 503));
    }

    void handleDirectory(const std::shared_ptr<pending_request> &pending)
    {
        const auto query = m_interface.parseDirectoryCall(pending->request());
        if (!query) {
            pending->answer(answerWithStatus(m_interface.isReadinessCall(pending->request()) ? (isReady() ? 200 : 503) : 404));
            return;
        }
        auto addresses = directoryAddresses(m_hubs, query->dataCentre, m_settings.gate.port);
        if (addresses.empty() && isReady()) {
            addresses.push_back(m_settings.gate);
        }
        if (addresses.empty()) {
            pending->answer(answerWithStatus(503));
            return;
        }
        pending->answer(m_interface.formatDirectoryAnswer(addresses, std::min(addressTtl, m_settings.maxAddressTtl)));
    }

    void handlePeer(const std::shared_ptr<pending_request> &pending)
    {
        pending->answer(m_fleetState.serve(pending->request().target));
    }

    void handleMetrics(const std::shared_ptr<pending_request> &pending)
    {
        const instant now = std::chrono::steady_clock::now();
        m_metrics.gauge("flamingofield_targets_age_seconds", "", toSeconds(m_fleetState.targetsAge(now)));
        m_metrics.gauge("flamingofield_config_age_seconds", "", toSeconds(m_fleetState.configAge(now)));
        m_metrics.gauge("flamingofield_requests_in_flight", "", static_cast<double>(m_requestProxy.inFlight()));
        m_metrics.gauge("flamingofield_requests_waiting", "", static_cast<double>(m_requestProxy.queuedRequests()));
        m_metrics.gauge("flamingofield_live_peers", "", static_cast<double>(m_members.livePeerCount(now)));
        m_metrics.gauge("flamingofield_targets_leaving", "", static_cast<double>(m_targets.leavingTargets()));
        m_metrics.gauge("flamingofield_targets_missing", "", static_cast<double>(m_fleetState.missingTargets()));
        m_metrics.gauge("flamingofield_targets_departed", "", static_cast<double>(m_fleetState.departedTargets()));
        m_metrics.gauge("flamingofield_targets_closed", "", static_cast<double>(m_targets.closedTargets(now)));
        m_metrics.gauge("flamingofield_client_connections", "", static_cast<double>(m_gate.connections()));
        m_metrics.gauge("flamingofield_client_connections_limit", "",
                        static_cast<double>(descriptor_shares(m_settings.fileDescriptors).clients));
        m_metrics.gauge("flamingofield_idle_target_connections", "", static_cast<double>(m_connections.size()));
        for (const memory_kind kind : allMemoryKinds) {
            m_metrics.gauge("flamingofield_memory_reserved_bytes", "kind=\"" + std::string(nameOf(kind)) + "\"",
                            static_cast<double>(m_memory->reserved(kind)));
        }
        m_metrics.gauge("flamingofield_memory_limit_bytes", "", static_cast<double>(m_memory->limit()));
        m_metrics.gauge("flamingofield_memory_evictions", "", static_cast<double>(m_memory->evictions()));
        m_metrics.gauge("flamingofield_log_lines_dropped", "", static_cast<double>(droppedLogLines()));
        if (m_quotas.table().hasLimits()) {
            const quota_share share = m_quotas.share(now);
            m_metrics.gauge("flamingofield_quota_share", "", share.share);
            m_metrics.gauge("flamingofield_quota_peers_heard", "", static_cast<double>(share.nodes - 1));
            m_metrics.gauge("flamingofield_quota_peers_missing", "", static_cast<double>(m_quotas.missingPeers(now)));
            m_metrics.gauge("flamingofield_quota_accounts", "", static_cast<double>(m_quotas.table().rows()));
        }
        writeShareGauges();
        if (m_storeBytes) {
            const std::uint64_t bytes = m_storeBytes();
            m_metrics.count("flamingofield_store_bytes_total", "", bytes - m_countedStoreBytes);
            m_countedStoreBytes = bytes;
        }
        http_answer_message answer = answerWithStatus(200);
        answer.fields.add("Content-Type", "text/plain; version=0.0.4");
        answer.body = m_metrics.text();
        pending->answer(answer);
    }

    void writeShareGauges()
    {
        constexpr auto shareName = "flamingofield_remote_share";
        constexpr auto ageName = "flamingofield_remote_share_age_seconds";
        m_metrics.clearGauges(shareName);
        m_metrics.clearGauges(ageName);
        for (const auto &[service, shares] : m_targets.shares()) {
            for (const data_centre_share &each : shares.shares()) {
                const std::string labels = "service=\"" + service + "\",data_centre=\"" + each.dataCentre + "\"";
                m_metrics.gauge(shareName, labels + ",reason=\"" + std::string(toText(each.reason)) + "\"", each.share);
                if (each.age != duration::max()) {
                    m_metrics.gauge(ageName, labels, toSeconds(each.age));
                }
            }
        }
    }

    boost::asio::io_context &m_loop;
    edge_settings m_settings;
    edge_http_interface m_interface;
    std::uint64_t m_incarnation;
    proxy_metrics m_metrics;
    std::shared_ptr<memory_budget> m_memory;
    connection_pool m_connections;
    target_table m_targets;
    report_changes m_reportChanges; ///< For the hubs of other data centres.
    fleet_retry_budget m_retries;
    outcome_window m_outcomes;
    request_proxy m_requestProxy;
    member_table m_members;
    std::function<std::uint64_t()> m_storeBytes; ///< Bytes exchanged with the store since the start; may be empty.
    std::uint64_t m_countedStoreBytes = 0;
    mesh_socket m_mesh;
    account_quotas m_quotas;
    fleet_state m_fleetState;
    client_connection_limits m_limits;
    listener m_gate;
    listener m_readiness;
    listener m_directory;
    listener m_peers;
    listener m_metricsPage;
    boost::asio::steady_timer m_timer;
    std::vector<mesh_member> m_hubs;
    std::size_t m_readerPosition = 0;
    instant m_rolesUpdatedAt{};
    instant m_sharesUpdatedAt{};
    instant m_connectionsCheckedAt{};
    instant m_memoryCheckedAt{};
    memory_return m_memoryReturn;
    instant m_peerHeardAt{}; ///< Last message of any peer.
    std::map<message_audience, instant> m_membersSentAt; ///< Last message with a member list.
    bool m_isHub = false;
    stop_sequence m_stop;
};

edge_node::edge_node(boost::asio::io_context &loop, edge_settings settings, edge_http_interface httpInterface, store_calls store)
    : m_implementation(std::make_unique<implementation>(loop, std::move(settings), std::move(httpInterface), std::move(store)))
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
