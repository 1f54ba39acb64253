#include "edge/fleet_state.hpp"

#include "core/hash.hpp"
#include "report/log.hpp"

#include <algorithm>
#include <charconv>

namespace flamingofield {

namespace {

constexpr milliseconds watchDuration{800};

/// Larger documents are read from the store by every node instead of being fetched from peers, unless the store is unreachable.
constexpr std::uint32_t largeDocumentBytes = 48U << 10U;

constexpr auto configPath = "/mesh/config";
constexpr auto targetsPath = "/mesh/targets";
constexpr auto revisionField = "Document-Revision";
constexpr auto eraField = "Document-Era";

/// Longer contact with the registry is told as this long, which takes fewer bytes. Peers need to know only that it covers a gap of theirs.
constexpr std::uint32_t maxToldContactMs = 60000;

/// Least interval of fetches for a peer's departures, some of which this node may know to be over.
constexpr milliseconds departuresInterval{1000};

std::uint32_t ageOf(instant at, instant now)
{
    return static_cast<std::uint32_t>(std::max<long long>(0, toMilliseconds(now - at)));
}

/// Age for messages to peers.
std::uint32_t ageOf(const confirmation &confirmed, instant now)
{
    return confirmed.at() ? ageOf(*confirmed.at(), now) : fleet_state_summary::unknownAge;
}

/// Reads a whole number, zero if the field is missing.
std::uint64_t numberIn(const header_fields &fields, std::string_view name)
{
    const std::string_view text = fields.value(name);
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/// Identifies this process among all nodes that read; never zero.
std::uint16_t readerOf(const first_reads &firstReads, instant startedAt)
{
    constexpr std::uint64_t readers = 0xffffU;
    return static_cast<std::uint16_t>(hashOf(std::to_string(startedAt.time_since_epoch().count()), firstReads.seed) % readers + 1);
}

/// Nodes of earlier releases do not tell when the registry answered, and announce lists with missing targets as lists of the registry.
bool isFromEarlierRelease(const fleet_state_summary &summary)
{
    return summary.contactStartMs == fleet_state_summary::unknownAge && summary.targetsAgeMs != fleet_state_summary::unknownAge;
}

/// The sender's contact with the registry; nothing if it has had none.
std::optional<peer_contact> contactOf(const fleet_state_summary &summary, instant now)
{
    if (summary.targetsAgeMs == fleet_state_summary::unknownAge) {
        return std::nullopt;
    }
    const instant confirmedAt = now - milliseconds(summary.targetsAgeMs);
    peer_contact contact{{confirmedAt, confirmedAt, std::nullopt, summary.targets.era, std::nullopt}, summary.targetsConfirmation};
    if (summary.contactStartMs != fleet_state_summary::unknownAge) {
        contact.period.start = now - milliseconds(summary.contactStartMs);
        // The confirmation dates from the request, the start of the period from the answer.
        contact.period.end = std::max(confirmedAt, contact.period.start);
    }
    if (summary.outageStartMs != fleet_state_summary::unknownAge) {
        contact.period.outageStart = now - milliseconds(summary.outageStartMs);
    }
    if (summary.returnMs != fleet_state_summary::unknownAge) {
        contact.period.returnedAt = now - milliseconds(summary.returnMs);
    }
    return contact;
}

} // namespace

fleet_state::fleet_state(store_calls store, peer_fetch fetch, config_handler onConfig, targets_handler onTargets, milliseconds heartbeat,
                         instant startedAt, first_reads firstReads, clock now)
    : m_store(std::move(store))
    , m_fetch(std::move(fetch))
    , m_onConfig(std::move(onConfig))
    , m_onTargets(std::move(onTargets))
    , m_clock(std::move(now))
    , m_startedAt(startedAt)
    , m_firstReads(firstReads)
    , m_lastConfirmation{readerOf(firstReads, startedAt), 0}
    , m_configConfirmation(startedAt, m_lastConfirmation.reader)
    , m_configReads(configReadIntervals)
    , m_targets(heartbeat, m_lastConfirmation.reader)
    , m_targetsConfirmation(startedAt, m_lastConfirmation.reader)
    , m_targetReads(targetReadIntervals)
{
}

duration fleet_state::targetsAge(instant now) const
{
    return m_targetsConfirmation.age(now);
}

duration fleet_state::configAge(instant now) const
{
    return m_configConfirmation.age(now);
}

void fleet_state::tick(const reader_place &place, instant now)
{
    m_targets.removeExpired(now);
    useTargets("renewal time", now);
    const std::size_t position = place.position;
    const start_knowledge knowledge = place.nodes == 0 ? start_knowledge::alone
        : reading_schedule::isFirstInLine(position)    ? start_knowledge::firstInLine
                                                       : start_knowledge::behindOthers;
    if (now < m_startedAt + reading_schedule::initialReadDelay(m_firstReads.isFirstStart, m_firstReads.seed, knowledge)) {
        return;
    }
    // A node that lacks a document reads it as often as the first reader, whatever its position.
    constexpr std::uint64_t steps = 1U << 20U;
    const double fraction = static_cast<double>(m_firstReads.seed % steps) / static_cast<double>(steps);
    for (reading_schedule *schedule : {&m_targetReads, &m_configReads}) {
        schedule->setPosition(position);
        schedule->setCrowd(place.nodes, fraction);
    }
    const std::size_t targetsPosition = m_targets.hasRegisteredList() ? position : 0;
    const std::size_t configPosition = m_config != nullptr ? position : 0;
    if (m_targetReads.isDue(targetsPosition, targetsAge(now), now)) {
        readTargets(now);
    }
    if (m_configReads.isDue(configPosition, configAge(now), now)) {
        if (m_watchAfter == 0 || position != 0) {
            readConfig(now);
        } else {
            watchConfig(now);
        }
    }
}

void fleet_state::noteStoreAnswer(std::string_view call)
{
    if (m_isStoreLost) {
        m_isStoreLost = false;
        logEvent(log_level::info, "store_regained", {{"call", std::string(call)}});
    }
}

void fleet_state::noteStoreFailure(std::string_view call, const error &failure)
{
    if (!m_isStoreLost) {
        m_isStoreLost = true;
        logEvent(log_level::warn, "store_lost", {{"call", std::string(call)}, {"error", describe(failure)}});
    }
}

confirmation_id fleet_state::nextConfirmation()
{
    ++m_lastConfirmation.number;
    return m_lastConfirmation;
}

void fleet_state::readTargets(instant now)
{
    m_targetReads.started(now);
    m_store.readTargets([this, requestedAt = now](result<target_snapshot> read) {
        const instant endedAt = m_clock();
        if (!read) {
            m_targetReads.failed(endedAt);
            m_targets.recordFailedRead(endedAt);
            noteStoreFailure("read targets", read.error());
            return;
        }
        m_targetReads.succeeded();
        noteStoreAnswer("read targets");
        const confirmation_id own = nextConfirmation();
        if (m_targets.applyRead(std::move(read.value()), own, endedAt)) {
            m_targetsConfirmation.record(own, requestedAt);
        }
        useTargets("store", endedAt);
    });
}

void fleet_state::useTargets(std::string_view source, instant now)
{
    if (!m_targets.takeChange()) {
        return;
    }
    const target_snapshot targets = m_targets.inUse();
    logEvent(log_level::info, "targets_taken_up",
             {{"source", std::string(source)},
              {"revision", std::to_string(targets.revision)},
              {"targets", std::to_string(targets.targets.size())},
              {"era", std::to_string(targets.era)},
              {"missing", std::to_string(m_targets.missing())},
              {"departed", std::to_string(m_targets.departed())},
              {"age_ms", std::to_string(toMilliseconds(targetsAge(now)))}});
    m_onTargets(targets);
}

void fleet_state::readConfig(instant now)
{
    m_configReads.started(now);
    m_store.readConfig([this, requestedAt = now](result<std::pair<store_document, std::uint64_t>> read) {
        const instant endedAt = m_clock();
        if (!read) {
            m_configReads.failed(endedAt);
            noteStoreFailure("read configuration", read.error());
            return;
        }
        m_configReads.succeeded();
        noteStoreAnswer("read configuration");
        m_watchAfter = read.value().second;
        m_watchEra = read.value().first.era;
        m_configConfirmation.record(nextConfirmation(), requestedAt);
        applyConfig(read.value().first, "store");
    });
}

void fleet_state::watchConfig(instant now)
{
    m_configReads.started(now);
    m_store.watchConfig(m_watchAfter, watchDuration, [this](result<store_watch_result> end) {
        const instant endedAt = m_clock();
        if (!end) {
            m_configReads.failed(endedAt);
            // A failed watch may have missed changes, so the next call reads the whole document.
            m_watchAfter = 0;
            noteStoreFailure("watch configuration", end.error());
            return;
        }
        m_configReads.succeeded();
        noteStoreAnswer("watch configuration");
        // In another era, the revision may have been given out again to a change that this watch does not report.
        if (end.value().isHistoryLost || end.value().era != m_watchEra) {
            m_watchAfter = 0;
            return;
        }
        // A watch covers the time until it ends, a read only the time until it was sent.
        m_configConfirmation.record(nextConfirmation(), endedAt);
        // A watch answer may carry a later store revision although it missed a change, so the next watch starts at the revision of the
        // document that this node holds.
        if (end.value().change) {
            m_watchAfter = std::max(m_watchAfter, end.value().change->revision);
            applyConfig(*end.value().change, "store");
        }
    });
}

void fleet_state::applyConfig(const store_document &document, std::string_view source)
{
    if (m_config != nullptr && document.era == m_configStamp.era && document.revision == m_configStamp.revision) {
        return;
    }
    auto decoded = m_store.decodeConfig(document);
    if (!decoded) {
        logEvent(log_level::error, "config_rejected",
                 {{"source", std::string(source)}, {"revision", std::to_string(document.revision)}, {"error", describe(decoded.error())}});
        return;
    }
    const config_stamp before = m_configStamp;
    const config_stamp stamp = decoded.value().stamp;
    if (m_config != nullptr && !(before < stamp)) {
        return;
    }
    store_document passedOn = decoded.value().accounts == nullptr ? document : m_store.withoutKeys(document);
    if (m_config != nullptr && before.version == stamp.version && passedOn.bytes == m_document.bytes) {
        setConfigStamp(stamp);
        return;
    }
    auto active = std::make_shared<active_config>();
    active->config = std::move(decoded.value());
    active->router = host_router(active->config.routes);
    m_document = std::move(passedOn);
    m_documentDigest = hashOf(m_document.bytes);
    m_config = active;
    m_configStamp = stamp;
    logEvent(log_level::info, "config_taken_up",
             {{"source", std::string(source)},
              {"version", std::to_string(active->config.stamp.version)},
              {"before", std::to_string(before.version)},
              {"revision", std::to_string(document.revision)},
              {"era", std::to_string(document.era)},
              {"routes", std::to_string(active->config.routes.size())}});
    m_onConfig(m_config);
}

void fleet_state::setConfigStamp(const config_stamp &stamp)
{
    m_configStamp = stamp;
    m_document.revision = stamp.revision;
    m_document.era = stamp.era;
}

void fleet_state::handlePeerSummary(node_address peer, const fleet_state_summary &peerSummary, instant now)
{
    handlePeerConfig(peer, peerSummary, now);
    handlePeerTargets(peer, peerSummary, now);
}

void fleet_state::handlePeerConfig(node_address peer, const fleet_state_summary &peerSummary, instant now)
{
    if (hasSameConfig(peerSummary)) {
        if (peerSummary.configAgeMs != fleet_state_summary::unknownAge) {
            m_configConfirmation.recordTold(peerSummary.configConfirmation, now - milliseconds(peerSummary.configAgeMs));
        }
        setConfigStamp(std::max(m_configStamp, peerSummary.config));
        return;
    }
    if (!(m_configStamp < peerSummary.config)) {
        return;
    }
    // Many nodes that fetch a large document from one small node would saturate its link for seconds; the store's link is faster.
    if (peerSummary.configBytes > largeDocumentBytes && !m_isStoreLost) {
        if (m_configReads.isIdle(now)) {
            readConfig(now);
        }
    } else if (!m_isFetchingConfig) {
        fetchConfig(peer);
    }
}

bool fleet_state::hasSameConfig(const fleet_state_summary &peerSummary) const
{
    if (m_config == nullptr || peerSummary.config.version != m_configStamp.version) {
        return false;
    }
    // Nodes of earlier releases tell neither the digest nor the era.
    return peerSummary.configDigest == 0 ? peerSummary.config.revision == m_configStamp.revision
                                         : peerSummary.configDigest == m_documentDigest;
}

void fleet_state::fetchConfig(node_address peer)
{
    m_isFetchingConfig = true;
    m_fetch(peer, configPath, [this](result<http_answer_message> answer) {
        m_isFetchingConfig = false;
        if (!answer || answer.value().status != 200) {
            return; // The next message from a peer that is ahead starts another fetch.
        }
        store_document document;
        document.revision = numberIn(answer.value().fields, revisionField);
        document.era = numberIn(answer.value().fields, eraField);
        document.bytes = answer.value().body;
        applyConfig(document, "peer");
    });
}

void fleet_state::handlePeerTargets(node_address peer, const fleet_state_summary &peerSummary, instant now)
{
    const std::optional<peer_contact> told = contactOf(peerSummary, now);
    if (!told) {
        return;
    }
    const store_position ownPosition = m_targets.position();
    const bool isSame = m_targets.hasList() && peerSummary.targetsDigest == m_targets.digest();
    const bool isNewer = !isSame && ownPosition < peerSummary.targets;
    const bool isEarlier = isFromEarlierRelease(peerSummary);
    if (isEarlier) {
        // Such a list may contain missing targets, so it neither replaces nor confirms one that was read from the registry.
        if (!m_targets.hasList() || (isNewer && !m_targets.hasRegisteredList())) {
            fetchTargets(peer);
        }
    } else if (isNewer || !m_targets.hasRegisteredList()) {
        // What the peer tells with its list is applied together with that, which has the targets that have registered again.
        fetchTargets(peer);
        return;
    }
    m_targets.applyPeerContact(*told, now);
    useTargets("peer", now);
    if (isEarlier) {
        return;
    }
    // A peer that tells no era confirms a list only by reading one that is at least as late.
    const bool isConfirmed = isSame
        && (peerSummary.targets.era == 0 ? peerSummary.targets.revision >= ownPosition.revision : !(peerSummary.targets < ownPosition));
    if (isConfirmed) {
        m_targets.confirm(peerSummary.targets);
        m_targetsConfirmation.recordTold(told->latest, told->period.end);
    }
    const bool lacksMissing = m_targets.awaitsMissing(now) && peerSummary.missingTargets > m_targets.missing();
    const bool lacksDepartures = isConfirmed && m_targets.mayListDeparted() && peerSummary.departedTargets > m_targets.departed()
        && now >= m_departuresFetchedAt + departuresInterval;
    if (lacksDepartures) {
        m_departuresFetchedAt = now;
    }
    if (lacksMissing || lacksDepartures) {
        fetchTargets(peer);
    }
}

void fleet_state::fetchTargets(node_address peer)
{
    if (m_isFetchingTargets) {
        return;
    }
    m_isFetchingTargets = true;
    m_fetch(peer, targetsPath, [this](result<http_answer_message> answer) {
        m_isFetchingTargets = false;
        if (!answer || answer.value().status != 200) {
            return; // The next message from a peer that is ahead starts another fetch.
        }
        const instant endedAt = m_clock();
        auto decoded = decodeFetchedTargets(answer.value().body);
        if (!decoded) {
            logEvent(log_level::error, "targets_rejected", {{"source", "peer"}, {"error", describe(decoded.error())}});
            return;
        }
        const auto &state = decoded.value().fleetState;
        const std::optional<peer_contact> told = state ? contactOf(*state, endedAt) : std::nullopt;
        if (m_targets.applyPeerDocument(std::move(decoded.value().document), told, endedAt) && told) {
            m_targetsConfirmation.recordTold(told->latest, told->period.end);
        }
        useTargets("peer", endedAt);
    });
}

fleet_state_summary fleet_state::summaryForPeers(instant now) const
{
    fleet_state_summary summary;
    summary.config = m_configStamp;
    summary.configDigest = m_documentDigest;
    summary.configBytes = static_cast<std::uint32_t>(m_document.bytes.size());
    summary.targets = m_targets.position();
    summary.targetsDigest = m_targets.digest();
    summary.targetsAgeMs = ageOf(m_targetsConfirmation, now);
    summary.configAgeMs = ageOf(m_configConfirmation, now);
    summary.targetsConfirmation = m_targetsConfirmation.id();
    summary.configConfirmation = m_configConfirmation.id();
    summary.missingTargets = static_cast<std::uint32_t>(m_targets.missing());
    if (const auto &contact = m_targets.contact()) {
        summary.contactStartMs = std::min(ageOf(contact->start, now), ageOf(contact->end, now) + maxToldContactMs);
        if (contact->outageStart && m_targets.isAwaitingRenewals(now)) {
            summary.outageStartMs = ageOf(*contact->outageStart, now);
        }
        if (m_targets.mayListDeparted()) {
            summary.returnMs = ageOf(*contact->returnedAt, now);
            summary.departedTargets = static_cast<std::uint32_t>(m_targets.departed());
        }
    }
    return summary;
}

http_answer_message fleet_state::serve(const std::string &path) const
{
    http_answer_message answer;
    answer.status = 404;
    if (path == configPath && m_config != nullptr) {
        answer.status = 200;
        answer.fields.add(revisionField, std::to_string(m_document.revision));
        answer.fields.add(eraField, std::to_string(m_document.era));
        answer.body = m_document.bytes;
    } else if (path == targetsPath && m_targets.hasRegisteredList()) {
        answer.status = 200;
        answer.body = encode({m_targets.document(), summaryForPeers(m_clock())});
    }
    return answer;
}

} // namespace flamingofield
