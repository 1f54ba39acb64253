#include "control/node_controller.hpp"

#include "control/node_status.hpp"
#include "control/snapshot_builder.hpp"
#include "core/hash.hpp"
#include "core/overloaded.hpp"
#include "fleet/service_members.hpp"
#include "report/log.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

constexpr std::size_t piggybackRecords = 6;
constexpr std::size_t fullSyncRecordsPerMessage = 400;
constexpr std::size_t readersPerDataCentre = 2;
constexpr milliseconds publishPeriod{1000};
constexpr milliseconds readerRoleDelay{1000}; // After the start of serving.
constexpr milliseconds configRequestPeriod{300};
constexpr std::size_t peersRequiredAtStart = 3;
constexpr milliseconds startupPeerWait{2500}; // A stale store may hold an older configuration than the peers.
constexpr milliseconds pauseThreshold{500}; // A longer gap between ticks means that the process was paused.
constexpr milliseconds probePeriod{1000};
constexpr seconds expiryPeriod{5};

node_info selfInfo(const control_context &context)
{
    node_info info;
    info.incarnation = context.incarnation;
    info.peerAddress = context.configuration.advertisedPeer;
    info.gateAddress = context.configuration.advertisedGate;
    info.adminAddress = context.configuration.admin;
    info.dataCentre = context.configuration.dataCentre;
    return info;
}

const char *toString(node_state state)
{
    constexpr std::array<const char *, 4> names{"alive", "suspect", "dead", "left"};
    return names[static_cast<std::size_t>(state)];
}

} // namespace

node_controller::node_controller(control_context context, peer_transport &transport)
    : m_context(std::move(context))
    , m_transport(transport)
    , m_members(selfInfo(m_context), {}, m_context.incarnation)
    , m_startedAt(std::chrono::steady_clock::now())
    , m_schedule(m_context.configuration.expectedFleet, m_context.incarnation, m_startedAt)
{
    m_members.setCandidates(m_context.configuration.seeds);
}

void node_controller::sendMessage(const endpoint &to, message_body body, std::vector<node_record> records, instant now)
{
    peer_message message;
    message.sender = m_members.self(now);
    message.config = m_configManager.stamp();
    message.digest = m_members.digest();
    message.records = std::move(records);
    message.body = std::move(body);
    const std::string bytes = encodeMessage(message, m_context.configuration.secret);
    if (m_transport.send(to, bytes)) {
        m_context.counters.add(counter::peerMessagesSent);
        m_context.counters.add(counter::peerBytesSent, bytes.size());
    }
}

void node_controller::execute(const std::vector<membership_action> &actions, instant now)
{
    for (const auto &action : actions) {
        std::visit(
            overloaded{
                [&](const send_heartbeat &a) {
                    sendMessage(a.to, heartbeat{a.sequence, a.wantsAllRecords}, m_members.takePiggyback(piggybackRecords), now);
                },
                [&](const send_indirect_heartbeat &a) {
                    sendMessage(a.via, indirect_heartbeat{a.sequence, a.target}, {}, now);
                },
                [&](const send_records &a) {
                    std::vector<node_record> records = a.isFullSync ? m_members.allRecords() : m_members.takePiggyback(piggybackRecords);
                    for (std::size_t first = 0; first < std::max<std::size_t>(records.size(), 1); first += fullSyncRecordsPerMessage) {
                        const std::size_t end = std::min(records.size(), first + fullSyncRecordsPerMessage);
                        sendMessage(a.to, membership_update{},
                                    {records.begin() + static_cast<long>(first), records.begin() + static_cast<long>(end)}, now);
                    }
                },
            },
            action);
    }
}

void node_controller::receive(const std::string &bytes, const std::string &peer, instant now)
{
    m_context.counters.add(counter::peerMessagesReceived);
    m_context.counters.add(counter::peerBytesReceived, bytes.size());
    const auto decoded = decodeMessage(bytes, m_context.configuration.secret, peer);
    if (!decoded) {
        m_context.counters.add(counter::peerMessagesRejected);
        return;
    }
    const peer_message &message = decoded.value();
    if (message.sender.info.incarnation == m_context.incarnation) {
        return;
    }
    for (const auto &record : message.records) {
        m_members.mergeRecord(record, now);
    }
    const bool isSuspected = m_members.mergeSender(message.sender, now);
    if (isSuspected) {
        const member_row *row = m_members.find(message.sender.info.incarnation);
        sendMessage(message.sender.info.peerAddress, membership_update{}, {row->record}, now);
    }
    m_members.compareDigest(message.sender.info.incarnation, message.digest, now);
    recordPeerStamp(message, now);
    handleBody(message, now);
}

void node_controller::recordPeerStamp(const peer_message &message, instant now)
{
    m_peerStamps[message.sender.info.incarnation] = message.config;
    if (m_highestPeerStamp < message.config) {
        m_highestPeerStamp = message.config;
        m_highestStampPeer = message.sender.info.peerAddress;
        m_lastConfigRequest = {};
        requestConfig(now);
    }
}

void node_controller::requestConfig(instant now)
{
    if (!(m_configManager.stamp() < m_highestPeerStamp) || now - m_lastConfigRequest < configRequestPeriod) {
        return;
    }
    m_lastConfigRequest = now;
    sendMessage(m_highestStampPeer, config_request{m_configManager.stamp()}, {}, now);
}

void node_controller::handleBody(const peer_message &message, instant now)
{
    const endpoint &from = message.sender.info.peerAddress;
    std::visit(overloaded{
                   [&](const heartbeat &b) {
                       sendMessage(from, heartbeat_ack{b.sequence}, m_members.takePiggyback(piggybackRecords), now);
                       if (b.wantsAllRecords) {
                           execute({send_records{from, true}}, now);
                       }
                   },
                   [&](const heartbeat_ack &b) { m_members.handleAck(b.sequence); },
                   [&](const indirect_heartbeat &b) {
                       const member_row *target = m_members.find(b.target);
                       if (target != nullptr) {
                           // Relays the heartbeat with the original sender, so that the target acknowledges to that node directly.
                           peer_message relayed;
                           relayed.sender = message.sender;
                           relayed.config = message.config;
                           relayed.digest = message.digest;
                           relayed.body = heartbeat{b.sequence, false};
                           m_transport.send(target->record.info.peerAddress, encodeMessage(relayed, m_context.configuration.secret));
                       }
                   },
                   [](const membership_update &) {},
                   [&](const config_request &b) {
                       if (const auto reply = m_configManager.makeReply(b)) {
                           sendMessage(from, *reply, {}, now);
                       }
                   },
                   [&](const config_reply &b) {
                       const offer_outcome outcome = m_configManager.applyReply(b, flamingofield::toString(from), now);
                       if (outcome == offer_outcome::incomplete) {
                           sendMessage(from, config_request{}, {}, now);
                       } else {
                           handleOfferOutcome(outcome, flamingofield::toString(from), now);
                       }
                   },
                   [&](const service_report &b) { m_services.handleReport(message.sender.info.incarnation, b, now); },
               },
               message.body);
}

void node_controller::handleOfferOutcome(offer_outcome outcome, const std::string &source, instant now)
{
    const auto log = [&](log_level level, const char *event) {
        const config_stamp stamp = m_configManager.stamp();
        const std::string reason = m_configManager.rejected().empty() ? "" : m_configManager.rejected().back().reason;
        logEvent(level, event,
                 {{"version", std::to_string(stamp.version)},
                  {"revision", std::to_string(stamp.revision)},
                  {"source", source},
                  {"reason", outcome == offer_outcome::accepted ? "" : reason}});
    };
    switch (outcome) {
    case offer_outcome::accepted:
        m_context.counters.add(counter::configAccepted);
        log(log_level::info, "config_accepted");
        break;
    case offer_outcome::conflict:
        m_context.counters.add(counter::configConflict);
        log(log_level::warn, "config_conflict");
        break;
    case offer_outcome::invalid:
        m_context.counters.add(counter::configInvalid);
        log(log_level::warn, "config_invalid");
        return;
    case offer_outcome::stale:
        m_context.counters.add(counter::configStale);
        return;
    case offer_outcome::same:
    case offer_outcome::incomplete:
        return;
    }
    m_services.applyConfig(*m_configManager.config(), now);
    refreshMembers(now);
    m_mustPublish = true;
    publish(now);
    // Announces the new stamp, which each message carries; neighbours then request the configuration.
    for (const auto &peer : m_members.neighbours()) {
        sendMessage(peer, membership_update{}, {}, now);
    }
}

std::vector<node_info> node_controller::liveNodes(instant now) const
{
    std::vector<node_info> nodes{m_members.self(now).info};
    for (const auto &row : m_members.live(true)) {
        nodes.push_back(row.record.info);
    }
    return nodes;
}

void node_controller::refreshMembers(instant now)
{
    const std::vector<node_info> nodes = liveNodes(now);
    for (const auto &row : m_services.rows()) {
        if (row.isListed) {
            m_services.setMembers(row.number, chooseMembers(row.spec, nodes), m_context.incarnation);
        }
    }
}

void node_controller::evaluateTargets(instant now)
{
    const bool wasPaused = m_lastTick != instant() && now - m_lastTick > pauseThreshold;
    if (wasPaused) {
        m_context.counters.add(counter::pausesDetected);
        logEvent(log_level::warn, "pause_noticed", {{"gap_ms", std::to_string(toMilliseconds(now - m_lastTick))}});
    }
    m_lastTick = now;
    m_services.ingest(m_context.observations.drain());
    const auto slow = m_context.inflight.collectSlow(now, [this](int serviceNumber) { return m_services.slowRequestLimit(serviceNumber); });
    if (!wasPaused) {
        m_services.ingest(slow);
    }
    for (const auto &[serviceNumber, event] : m_services.detectOutliers(now)) {
        const std::string &service = m_services.rows()[static_cast<std::size_t>(serviceNumber)].name;
        switch (event.type) {
        case outlier_event::kind::ejected:
            m_context.counters.add(counter::ejections);
            break;
        // A target whose network path is suspected is ejected all the same, but counted here instead of as an ejection. The start of
        // a suspicion of this node itself also counts once; while it lasts, this node ejects no target that is in service.
        case outlier_event::kind::pathSuspected:
        case outlier_event::kind::selfSuspected:
            m_context.counters.add(counter::ejectionsDeniedByPath);
            break;
        case outlier_event::kind::deniedByFloor:
            m_context.counters.add(counter::ejectionsDeniedByFloor);
            break;
        case outlier_event::kind::readmitted:
            m_context.counters.add(counter::readmissions);
            break;
        default:
            break;
        }
        logEvent(log_level::info, toString(event.type),
                 {{"service", service}, {"target", event.target}, {"evidence", std::to_string(event.evidence)}});
    }
    m_services.applyLimits(m_context.incarnation, now);
}

void node_controller::sendReports(instant now)
{
    for (auto &row : m_services.rows()) {
        const auto report = row.isListed ? m_services.takeDueReport(row.number, now) : std::nullopt;
        if (!report) {
            continue;
        }
        for (const auto member : row.members) {
            const member_row *peer = member == m_context.incarnation ? nullptr : m_members.find(member);
            if (peer != nullptr) {
                sendMessage(peer->record.info.peerAddress, *report, {}, now);
            }
        }
    }
}

bool node_controller::isReader(instant now) const
{
    // A process that just started knows few nodes, so it would rank among the readers by mistake.
    if (!m_isServing || now - m_servingSince < readerRoleDelay) {
        return false;
    }
    std::vector<std::pair<double, std::uint64_t>> scores{
        {rendezvousScore("store reader", flamingofield::toString(m_context.configuration.advertisedPeer)), m_context.incarnation}};
    for (const auto &row : m_members.live(false)) {
        if (row.record.info.dataCentre == m_context.configuration.dataCentre) {
            scores.emplace_back(rendezvousScore("store reader", flamingofield::toString(row.record.info.peerAddress)),
                                row.record.info.incarnation);
        }
    }
    std::sort(scores.rbegin(), scores.rend());
    const std::size_t readers = std::min(readersPerDataCentre, scores.size());
    return std::any_of(scores.begin(), scores.begin() + static_cast<long>(readers),
                       [&](const auto &s) { return s.second == m_context.incarnation; });
}

bool node_controller::isReady(instant now) const
{
    if (m_configManager.stamp().version == 0 || m_configManager.stamp() < m_highestPeerStamp) {
        return false;
    }
    const std::size_t others = std::max(m_vms.empty() ? 0 : m_vms.size() - 1, m_context.configuration.seeds.size());
    const bool hasEnoughPeerStamps = others > 0 && m_peerStamps.size() >= std::min(others, peersRequiredAtStart);
    return hasEnoughPeerStamps || now - m_startedAt > startupPeerWait;
}

void node_controller::publish(instant now)
{
    if (!m_isServing) {
        if (!isReady(now)) {
            return;
        }
        m_isServing = true;
        m_servingSince = now;
        m_mustPublish = true;
        logEvent(log_level::info, "serving", {{"version", std::to_string(m_configManager.stamp().version)}});
    }
    if (!m_mustPublish && now < m_nextPublish) {
        return;
    }
    m_mustPublish = false;
    m_nextPublish = now + publishPeriod;
    m_context.snapshots.publish(buildSnapshot(m_configManager, m_services, m_members, now));
}

void node_controller::logChanges(instant now)
{
    const std::vector<node_record> changes = m_members.takeChanges();
    for (const auto &record : changes) {
        m_context.counters.add(counter::membersSuspected, record.state == node_state::suspect ? 1 : 0);
        m_context.counters.add(counter::membersLost, record.state == node_state::dead ? 1 : 0);
        logEvent(log_level::info, "member",
                 {{"peer", flamingofield::toString(record.info.peerAddress)},
                  {"incarnation", toHex(record.info.incarnation)},
                  {"state", toString(record.state)},
                  {"leaving", record.info.isLeaving ? "true" : "false"}});
    }
    if (!changes.empty()) {
        refreshMembers(now);
        m_mustPublish = true;
    }
}

void node_controller::tick(instant now)
{
    evaluateTargets(now);
    execute(m_members.tick(now), now);
    logChanges(now);
    requestConfig(now);
    sendReports(now);
    publish(now);
    if (now >= m_nextExpiry) {
        m_nextExpiry = now + expiryPeriod;
        m_context.outcomes.expire(now);
        m_transport.closeIdle(now);
    }
}

void node_controller::handleConnectionClosed(const endpoint &peer)
{
    m_members.handleConnectionClosed(peer);
}

void node_controller::leave(instant now)
{
    m_members.leave();
    refreshMembers(now);
    m_mustPublish = true;
    tick(now);
}

void node_controller::updateReadRole(instant now)
{
    const read_role role = !m_isServing ? read_role::starting : isReader(now) ? read_role::reader : read_role::other;
    m_schedule.setRole(role, m_members.live(true).size() + 1, now);
}

std::optional<store_read_request> node_controller::takeDueRead(instant now)
{
    updateReadRole(now);
    const auto order = m_schedule.takeDueRead(m_configManager.highestRevision(), now);
    m_context.counters.add(counter::storeReads, order ? 1 : 0);
    return order;
}

void node_controller::handleConfigRead(const result<std::optional<stored_config>> &answer, instant now)
{
    const bool hasReachabilityChanged = m_schedule.recordRead(answer.has_value(), now);
    m_context.counters.add(counter::storeFailures, answer ? 0 : 1);
    if (hasReachabilityChanged && answer) {
        logEvent(log_level::info, "store_reachable", {});
    } else if (hasReachabilityChanged) {
        logEvent(log_level::warn, "store_unreachable", {{"error", describe(answer.error())}});
    }
    if (answer && answer.value()) {
        handleOfferOutcome(m_configManager.offer(answer.value()->text, answer.value()->revision, "store", now), "store", now);
    }
}

bool node_controller::takeDueVmRead(instant now)
{
    const bool isDue = m_schedule.takeDueVmRead(now);
    m_context.counters.add(counter::storeReads, isDue ? 1 : 0);
    return isDue;
}

void node_controller::handleVmList(const result<std::vector<listed_vm>> &answer, instant now)
{
    m_schedule.recordVmRead(now);
    if (!answer) {
        m_context.counters.add(counter::storeFailures);
        return;
    }
    std::vector<endpoint> candidates = m_context.configuration.seeds;
    for (const auto &vm : answer.value()) {
        candidates.push_back(vm.address);
        if (vm.isLeaving) {
            m_services.markLeaving(vm.address, now);
        }
    }
    m_vms = answer.value();
    m_members.setCandidates(std::move(candidates));
}

std::vector<probe_request> node_controller::takeDueProbes(instant now)
{
    std::vector<probe_request> requests;
    if (now < m_nextProbe) {
        return requests;
    }
    m_nextProbe = now + probePeriod;
    for (const auto &row : m_services.rows()) {
        const auto ownIndex
            = static_cast<std::size_t>(std::find(row.members.begin(), row.members.end(), m_context.incarnation) - row.members.begin());
        for (std::size_t i = 0; i < row.targets.size() && row.isMember && row.isListed; ++i) {
            // One member probes each target; all members probe a leaving one, since a new process may have taken its address.
            const auto &target = row.outliers.targets()[i];
            if (target.isListed && (i % row.members.size() == ownIndex || target.state == target_state::leaving)) {
                requests.push_back({row.number, i, row.targets[i]});
            }
        }
    }
    return requests;
}

void node_controller::handleProbeResults(const std::vector<probe_result> &results, instant now)
{
    for (const auto &result : results) {
        m_services.handleProbeResult(result.serviceNumber, result.target, result.isDraining, now);
    }
}

std::string node_controller::status(instant now) const
{
    return encodeStatus({m_context, m_configManager, m_services, m_members, m_isServing, isReader(now)}, now);
}

} // namespace flamingofield
