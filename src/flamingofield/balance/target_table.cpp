#include "balance/target_table.hpp"

#include "core/hash.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

/// A peer's in-flight counts are ignored after this long without a report of the schedule; the peer may have stopped.
constexpr milliseconds peerReportLifetime{1200};
/// A target's own load report is taken into account for this long; after it the peers' counts are newer.
constexpr milliseconds loadReportLifetime{150};
/// Time without new requests to a target that shed one; about the time in which one of its slots becomes free.
constexpr milliseconds shedBackoff{120};
/// Time without new requests to a target after another process answered at its address; the registry must have been updated by
/// then.
constexpr milliseconds replacedBackoff{2000};
/// Changed counts are sent to peers repeatedly for this long, since datagrams may be lost.
constexpr milliseconds changeResendPeriod{1500};
/// Each finished request lowers the weight of earlier ones in slot_occupancy by this factor.
constexpr double occupancyDecay = 0.98;
/// Slowness above which a target counts as impaired; normal variation of service times rarely raises the average that far.
constexpr double impairedSlowness = 2.5;
/// A request that was cancelled after this many times the mean service time counts as an impairment.
constexpr int impairedDelayFactor = 4;
/// Probabilities are sent to peers as one byte each; the highest value marks a target that is leaving.
constexpr double probabilityScale = 254.0;
constexpr unsigned char leavingMark = 255;
/// A leaving target is forgotten after it has not been registered for this long; it serves for seconds after its entry has gone.
constexpr seconds leavingRetention{300};

void addToOccupancy(slot_occupancy &occupancy, duration taken)
{
    const double serviceTime = toSeconds(taken);
    occupancy.squares = occupancy.squares * occupancyDecay + serviceTime * serviceTime;
    occupancy.sum = occupancy.sum * occupancyDecay + serviceTime;
}

void markImpaired(target_row &row, instant now)
{
    row.impairedAt = now;
    ++row.counts.impairments;
}

target_report reportOf(const target_row &row)
{
    return {row.key, static_cast<std::uint16_t>(row.ownInFlight), row.counts, row.isLeaving};
}

std::uint64_t keyOf(const target_entry &entry)
{
    return hashOf(entry.id, static_cast<std::uint64_t>(entry.startedAtMs));
}

} // namespace

target_table::target_table(std::string dataCentre, std::uint64_t seed)
    : m_dataCentre(std::move(dataCentre))
    , m_seed(seed)
{
}

std::vector<std::string> target_table::apply(const target_snapshot &snapshot, instant now)
{
    std::vector<std::string> changed;
    std::unordered_map<std::uint64_t, bool> seen;
    for (const auto &entry : snapshot.targets) {
        const std::uint64_t key = keyOf(entry);
        seen[key] = true;
        auto [position, isNew] = m_rows.try_emplace(key);
        target_row &row = position->second;
        if (isNew || row.entry.isDraining != entry.isDraining || !row.isPresent) {
            changed.push_back(entry.id);
        }
        const auto leaving = m_leavingKeys.find(key);
        if (leaving != m_leavingKeys.end()) {
            leaving->second = now;
            row.isLeaving = true;
        }
        if (isNew) {
            row.key = key;
            row.warmUpUntil = now + entry.remainingWarmUp;
            for (const auto &[peer, counts] : m_peers) {
                const auto reported = counts.rows.find(key);
                row.peersInFlight += counts.isExpired || reported == counts.rows.end() ? 0 : reported->second.inFlight;
            }
        }
        row.entry = entry;
        row.isPresent = true;
        row.listedAt = now;
    }
    for (auto &[key, row] : m_rows) {
        if (row.isPresent && seen.count(key) == 0) {
            row.isPresent = false;
            changed.push_back(row.entry.id);
        }
    }
    removeDepartedTargets();
    forgetLeavingTargets(now);
    updateServices();
    return changed;
}

void target_table::updateServices()
{
    m_byService.clear();
    for (auto &[key, row] : m_rows) {
        if (row.isPresent && !row.entry.isDraining && !row.isLeaving) {
            m_byService[row.entry.service].push_back(&row);
        }
    }
    for (auto &[service, rows] : m_byService) {
        std::sort(rows.begin(), rows.end(), [](const target_row *a, const target_row *b) { return a->key < b->key; });
    }
}

void target_table::forgetLeavingTargets(instant now)
{
    for (auto position = m_leavingKeys.begin(); position != m_leavingKeys.end();) {
        position = now - position->second > leavingRetention ? m_leavingKeys.erase(position) : std::next(position);
    }
}

bool target_table::markLeaving(target_row &row)
{
    if (row.isLeaving) {
        return false;
    }
    row.isLeaving = true;
    m_leavingKeys[row.key] = row.listedAt;
    updateServices();
    return true;
}

void target_table::closeFor(target_row &row, duration time, instant now)
{
    row.closedUntil = std::max(row.closedUntil, now + time);
    row.backoffUntil = std::max(row.backoffUntil, row.closedUntil);
}

std::size_t target_table::leavingTargets() const
{
    return static_cast<std::size_t>(
        std::count_if(m_rows.begin(), m_rows.end(), [](const auto &entry) { return entry.second.isPresent && entry.second.isLeaving; }));
}

std::size_t target_table::closedTargets(instant now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_rows.begin(), m_rows.end(), [&](const auto &entry) { return entry.second.isPresent && entry.second.closedUntil > now; }));
}

duration target_table::timeUntilOpen(std::string_view service, instant now) const
{
    const auto rows = m_byService.find(std::string(service));
    if (rows == m_byService.end()) {
        return duration::zero();
    }
    const auto first = std::min_element(rows->second.begin(), rows->second.end(),
                                        [](const target_row *a, const target_row *b) { return a->closedUntil < b->closedUntil; });
    return std::max(duration::zero(), (*first)->closedUntil - now);
}

void target_table::removeDepartedTargets()
{
    for (auto position = m_rows.begin(); position != m_rows.end();) {
        position = !position->second.isPresent && position->second.ownInFlight == 0 ? m_rows.erase(position) : std::next(position);
    }
}

int target_table::inFlight(const target_row &row, instant now) const
{
    const bool isReportFresh = row.load.at != instant{} && now - row.load.at < loadReportLifetime;
    const int reported = isReportFresh ? row.load.running + row.load.waiting : 0;
    return std::max(row.ownInFlight + row.peersInFlight, reported);
}

void target_table::addPeersInFlight(std::uint64_t key, int change)
{
    if (change == 0) {
        return;
    }
    if (target_row *row = find(key)) {
        row->peersInFlight += change;
    }
}

void target_table::expirePeerReports(instant now)
{
    if (now < m_nextPeerExpiry) {
        return;
    }
    m_nextPeerExpiry = now + peerReportLifetime;
    for (auto &[peer, counts] : m_peers) {
        const instant expiry = counts.lastReportAt + peerReportLifetime;
        if (!counts.isExpired && expiry <= now) {
            counts.isExpired = true;
            for (const auto &[key, row] : counts.rows) {
                addPeersInFlight(key, -row.inFlight);
            }
        } else if (!counts.isExpired) {
            m_nextPeerExpiry = std::min(m_nextPeerExpiry, expiry);
        }
    }
}

std::vector<target_candidate> target_table::candidatesFor(const target_query &query, const std::vector<target_row *> &rows, instant now)
{
    std::vector<target_candidate> candidates;
    const auto isExcluded = [&](const target_row &row) {
        return query.excluded != nullptr
            && std::find(query.excluded->begin(), query.excluded->end(), row.entry.id) != query.excluded->end();
    };
    const bool hasFreeSlot
        = std::any_of(rows.begin(), rows.end(), [&](const target_row *row) { return hasFreeSlotFor(*row, inFlight(*row, now), now); });
    if (!hasFreeSlot) {
        return candidates;
    }
    candidates.reserve(rows.size());
    for (target_row *row : rows) {
        if (!isExcluded(*row)) {
            candidates.push_back(candidateOf(*row, query, inFlight(*row, now), now));
        }
    }
    return candidates;
}

duration target_table::slotServiceTime(std::string_view service) const
{
    const auto found = m_occupancy.find(std::string(service));
    if (found == m_occupancy.end() || found->second.sum <= 0.0) {
        return duration::zero();
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(found->second.squares / found->second.sum));
}

std::optional<target_choice> target_table::choose(const target_query &query, instant now)
{
    const auto rows = m_byService.find(std::string(query.service));
    if (rows == m_byService.end()) {
        return std::nullopt;
    }
    expirePeerReports(now);
    ++m_choices;
    const auto share = m_shares.find(rows->first);
    const choice_parameters parameters{m_dataCentre,
                                       m_seed + m_choices,
                                       m_trialAssignment,
                                       m_floorShare,
                                       slotServiceTime(query.service),
                                       share == m_shares.end() ? nullptr : &share->second};
    const auto choice = chooseAmong(candidatesFor(query, rows->second, now), query, parameters, now);
    if (choice) {
        choice->row->lastUsedAt = now;
    }
    if (choice && share != m_shares.end()) {
        share->second.recordChoice(choice->row->entry.dataCentre);
    }
    return choice;
}

std::vector<target_report> target_table::takeUrgentReports()
{
    std::sort(m_urgentKeys.begin(), m_urgentKeys.end());
    m_urgentKeys.erase(std::unique(m_urgentKeys.begin(), m_urgentKeys.end()), m_urgentKeys.end());
    std::vector<target_report> reports;
    for (const std::uint64_t key : m_urgentKeys) {
        if (const target_row *row = find(key)) {
            reports.push_back(reportOf(*row));
        }
    }
    m_urgentKeys.clear();
    return reports;
}

void target_table::requestStarted(target_row &row)
{
    ++row.ownInFlight;
    ++row.counts.requestsSent;
}

void target_table::requestFinished(target_row &row, target_outcome outcome, duration taken, duration meanServiceTime, instant now)
{
    row.ownInFlight = std::max(0, row.ownInFlight - 1);
    switch (outcome) {
    case target_outcome::served:
        row.health.observe(successEvidence, now);
        row.path.observe(successEvidence, now);
        row.slowness.observe(taken, meanServiceTime, now);
        addToOccupancy(m_occupancy[row.entry.service], taken);
        if (row.slowness.ratio(now) > impairedSlowness) {
            markImpaired(row, now);
        }
        ++row.counts.successes;
        break;
    case target_outcome::failed:
        row.health.observe(failureEvidence, now);
        row.path.observe(successEvidence, now);
        row.lastErrorAt = now;
        ++row.counts.failures;
        m_urgentKeys.push_back(row.key);
        break;
    case target_outcome::shed:
        row.backoffUntil = std::max(row.backoffUntil, now + shedBackoff);
        break;
    case target_outcome::replaced:
        row.backoffUntil = std::max(row.backoffUntil, now + replacedBackoff);
        ++row.counts.replacements;
        markImpaired(row, now);
        break;
    case target_outcome::broken:
        row.path.observe(connectionFailureEvidence, now);
        markImpaired(row, now);
        break;
    case target_outcome::reset:
        row.path.observe(successEvidence, now);
        markImpaired(row, now);
        recordOverdueOrReset(row, now);
        break;
    case target_outcome::cancelled:
        if (taken > meanServiceTime * impairedDelayFactor) {
            markImpaired(row, now);
        }
        break;
    }
    row.reportChangedAt = now;
}

void target_table::recordOverdueOrReset(target_row &row, instant now)
{
    row.health.observe(overdueOrResetEvidence, now);
    ++row.counts.overdueOrResetRequests;
    row.reportChangedAt = now;
}

void target_table::setLoadReport(target_row &row, load_report report)
{
    row.load = report;
}

void target_table::applyPeerReport(std::uint64_t peer, const std::vector<target_report> &rows, instant now)
{
    peer_counts &counts = m_peers[peer];
    const bool isFirst = counts.lastReportAt == instant{};
    for (auto &[key, row] : counts.rows) {
        addPeersInFlight(key, counts.isExpired ? 0 : -row.inFlight);
        row.inFlight = 0;
    }
    counts.isExpired = false;
    counts.lastReportAt = now;
    applyRows(counts, rows, isFirst, now);
    for (auto position = m_peers.begin(); position != m_peers.end();) {
        constexpr seconds peerRetention{30};
        // The reports of a removed peer have expired long before, so none of its requests in flight is counted any more.
        const bool isForgotten = position->second.isExpired && now - position->second.lastReportAt > peerRetention;
        position = isForgotten ? m_peers.erase(position) : std::next(position);
    }
}

void target_table::applyPartialPeerReport(std::uint64_t peer, const std::vector<target_report> &rows, instant now)
{
    expirePeerReports(now);
    const auto found = m_peers.find(peer);
    if (found != m_peers.end() && !found->second.isExpired) {
        applyRows(found->second, rows, false, now);
    }
}

bool target_table::renewPeerReport(std::uint64_t peer, instant now)
{
    // A node without requests of its own makes no choices, which would expire the reports otherwise.
    expirePeerReports(now);
    const auto found = m_peers.find(peer);
    if (found == m_peers.end() || found->second.isExpired) {
        return false;
    }
    found->second.lastReportAt = now;
    return true;
}

void target_table::applyRows(peer_counts &counts, const std::vector<target_report> &rows, bool isFirst, instant now)
{
    for (const auto &row : rows) {
        auto [position, isNew] = counts.rows.try_emplace(row.key);
        const target_counts before = position->second.counts;
        addPeersInFlight(row.key, row.inFlight - position->second.inFlight);
        position->second = row;
        target_row *target = find(row.key);
        if (target != nullptr && row.isLeaving) {
            markLeaving(*target);
        }
        // Totals that the peer has collected since its start are no recent observations. They come with its first report, and with the
        // first report about a target that it has not used for a while.
        constexpr std::uint32_t maxObservations = 8;
        const bool isOldTotal = isFirst || (isNew && row.counts.requestsSent > maxObservations);
        if (target == nullptr || isOldTotal) {
            continue;
        }
        if (row.counts.requestsSent != before.requestsSent) {
            target->lastUsedAt = now;
        }
        if (row.counts.impairments > before.impairments) {
            target->impairedAtPeersAt = now;
        }
        if (row.counts.replacements > before.replacements) {
            target->backoffUntil = std::max(target->backoffUntil, now + replacedBackoff);
        }
        const auto observeTimes = [&](std::uint32_t newer, std::uint32_t older, observation_likelihood likelihood) {
            const std::uint32_t times = newer > older ? std::min(newer - older, maxObservations) : 0;
            for (std::uint32_t i = 0; i < times; ++i) {
                target->health.observe(likelihood, now);
            }
        };
        if (row.counts.failures > before.failures) {
            target->lastErrorAt = now;
        }
        observeTimes(row.counts.failures, before.failures, failureEvidence);
        observeTimes(row.counts.successes, before.successes, successEvidence);
        observeTimes(row.counts.overdueOrResetRequests, before.overdueOrResetRequests, peerOverdueOrResetEvidence);
    }
}

std::vector<target_report> target_table::reportForPeers(instant now) const
{
    std::vector<target_report> reports;
    for (const auto &[key, row] : m_rows) {
        const bool isRecent = row.reportChangedAt != instant{} && now - row.reportChangedAt < changeResendPeriod;
        if (row.ownInFlight > 0 || isRecent || row.isLeaving) {
            reports.push_back(reportOf(row));
        }
    }
    return reports;
}

std::vector<std::uint64_t> target_table::presentKeys() const
{
    std::vector<std::uint64_t> keys;
    for (const auto &[key, row] : m_rows) {
        if (row.isPresent) {
            keys.push_back(key);
        }
    }
    std::sort(keys.begin(), keys.end());
    return keys;
}

std::string target_table::healthEstimates(instant now) const
{
    std::string bytes;
    for (const std::uint64_t key : presentKeys()) {
        const target_row &row = m_rows.at(key);
        const auto estimate = static_cast<unsigned char>(row.health.unhealthyProbability(now) * probabilityScale);
        bytes.push_back(static_cast<char>(row.isLeaving ? leavingMark : estimate));
    }
    return bytes;
}

void target_table::applyHealthEstimates(std::string_view healthEstimates, instant now)
{
    const auto keys = presentKeys();
    if (healthEstimates.size() != keys.size()) {
        return; // One of the two nodes has not applied the newest snapshot yet.
    }
    for (std::size_t i = 0; i < keys.size(); ++i) {
        target_row &row = m_rows.at(keys[i]);
        const auto estimate = static_cast<unsigned char>(healthEstimates[i]);
        if (estimate == leavingMark) {
            markLeaving(row);
        } else {
            row.health.setProbability(estimate / probabilityScale, now);
        }
    }
}

int target_table::slotsOf(std::string_view service) const
{
    const auto rows = m_byService.find(std::string(service));
    int slots = 0;
    if (rows != m_byService.end()) {
        for (const target_row *row : rows->second) {
            slots += row->entry.slots;
        }
    }
    return slots;
}

int target_table::freeSlotsOf(std::string_view service, instant now) const
{
    const auto rows = m_byService.find(std::string(service));
    int slots = 0;
    if (rows != m_byService.end()) {
        for (const target_row *row : rows->second) {
            slots += std::max(0, row->entry.slots - inFlight(*row, now));
        }
    }
    return slots;
}

bool target_table::hasTargets(std::string_view service) const
{
    return m_byService.count(std::string(service)) != 0;
}

target_row *target_table::find(std::uint64_t key)
{
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? nullptr : &found->second;
}

} // namespace flamingofield
