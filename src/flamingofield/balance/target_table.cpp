#include "balance/target_table.hpp"

#include "core/hash.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

/// A peer's in-flight counts are ignored after this long without a report; the peer may have stopped.
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
/// Probabilities are sent to peers as one byte each.
constexpr double probabilityScale = 255.0;

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
        if (isNew) {
            row.key = key;
            row.warmUpUntil = now + entry.remainingWarmUp;
        }
        row.entry = entry;
        row.isPresent = true;
    }
    for (auto &[key, row] : m_rows) {
        if (row.isPresent && seen.count(key) == 0) {
            row.isPresent = false;
            changed.push_back(row.entry.id);
        }
    }
    removeDepartedTargets();
    m_byService.clear();
    for (const auto &[key, row] : m_rows) {
        if (row.isPresent && !row.entry.isDraining) {
            m_byService[row.entry.service].push_back(key);
        }
    }
    for (auto &[service, keys] : m_byService) {
        std::sort(keys.begin(), keys.end());
    }
    return changed;
}

void target_table::removeDepartedTargets()
{
    for (auto position = m_rows.begin(); position != m_rows.end();) {
        position = !position->second.isPresent && position->second.ownInFlight == 0 ? m_rows.erase(position) : std::next(position);
    }
}

int target_table::inFlight(const target_row &row, instant now) const
{
    int others = 0;
    for (const auto &[peer, counts] : m_peers) {
        if (now - counts.lastReportAt < peerReportLifetime) {
            const auto found = counts.rows.find(row.key);
            others += found == counts.rows.end() ? 0 : found->second.inFlight;
        }
    }
    const bool isReportFresh = row.load.at != instant{} && now - row.load.at < loadReportLifetime;
    const int reported = isReportFresh ? row.load.running + row.load.waiting : 0;
    return std::max(row.ownInFlight + others, reported);
}

std::vector<target_candidate> target_table::candidatesFor(const target_query &query, const std::vector<std::uint64_t> &keys, instant now)
{
    std::vector<target_candidate> candidates;
    for (const std::uint64_t key : keys) {
        target_row &row = m_rows.at(key);
        const bool isExcluded
            = query.excluded != nullptr && std::find(query.excluded->begin(), query.excluded->end(), row.entry.id) != query.excluded->end();
        if (!isExcluded) {
            candidates.push_back(candidateOf(row, query, inFlight(row, now), now));
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
    const auto keys = m_byService.find(std::string(query.service));
    if (keys == m_byService.end()) {
        return std::nullopt;
    }
    ++m_choices;
    const auto choice
        = chooseAmong(candidatesFor(query, keys->second, now), query,
                      {m_dataCentre, m_seed + m_choices, m_trialAssignment, m_floorShare, slotServiceTime(query.service)}, now);
    if (choice) {
        choice->row->lastUsedAt = now;
    }
    return choice;
}

bool target_table::takeUrgentReportFlag()
{
    const bool hadUrgentReport = m_hasUrgentReport;
    m_hasUrgentReport = false;
    return hadUrgentReport;
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
        ++row.counts.failures;
        m_hasUrgentReport = true;
        break;
    case target_outcome::shed:
        row.backoffUntil = now + shedBackoff;
        break;
    case target_outcome::replaced:
        row.backoffUntil = now + replacedBackoff;
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
    counts.lastReportAt = now;
    for (auto &[key, row] : counts.rows) {
        row.inFlight = 0;
    }
    for (const auto &row : rows) {
        auto [position, isNew] = counts.rows.try_emplace(row.key, row);
        const target_counts before = isNew ? target_counts() : position->second.counts;
        position->second = row;
        target_row *target = find(row.key);
        // A peer's first report holds its totals since its start; the difference to nothing is no recent observation.
        if (target == nullptr || isFirst) {
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
        constexpr std::uint32_t maxObservations = 8;
        const auto observeTimes = [&](std::uint32_t newer, std::uint32_t older, observation_likelihood likelihood) {
            const std::uint32_t times = newer > older ? std::min(newer - older, maxObservations) : 0;
            for (std::uint32_t i = 0; i < times; ++i) {
                target->health.observe(likelihood, now);
            }
        };
        observeTimes(row.counts.failures, before.failures, failureEvidence);
        observeTimes(row.counts.successes, before.successes, successEvidence);
        observeTimes(row.counts.overdueOrResetRequests, before.overdueOrResetRequests, peerOverdueOrResetEvidence);
    }
    for (auto position = m_peers.begin(); position != m_peers.end();) {
        constexpr seconds peerRetention{30};
        position = now - position->second.lastReportAt > peerRetention ? m_peers.erase(position) : std::next(position);
    }
}

std::vector<target_report> target_table::reportForPeers(instant now) const
{
    std::vector<target_report> reports;
    for (const auto &[key, row] : m_rows) {
        const bool isRecent = row.reportChangedAt != instant{} && now - row.reportChangedAt < changeResendPeriod;
        if (row.ownInFlight > 0 || isRecent) {
            reports.push_back({key, static_cast<std::uint16_t>(row.ownInFlight), row.counts});
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
        bytes.push_back(static_cast<char>(static_cast<unsigned char>(m_rows.at(key).health.unhealthyProbability(now) * probabilityScale)));
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
        m_rows.at(keys[i]).health.setProbability(static_cast<unsigned char>(healthEstimates[i]) / probabilityScale, now);
    }
}

int target_table::slotsOf(std::string_view service) const
{
    const auto keys = m_byService.find(std::string(service));
    int slots = 0;
    if (keys != m_byService.end()) {
        for (const std::uint64_t key : keys->second) {
            slots += m_rows.at(key).entry.slots;
        }
    }
    return slots;
}

int target_table::freeSlotsOf(std::string_view service, instant now) const
{
    const auto keys = m_byService.find(std::string(service));
    int slots = 0;
    if (keys != m_byService.end()) {
        for (const std::uint64_t key : keys->second) {
            const target_row &row = m_rows.at(key);
            slots += std::max(0, row.entry.slots - inFlight(row, now));
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
