#include "balance/target_table.hpp"

#include "core/hash.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

/// Counts told by a peer are dropped when the peer has been silent for this long; it may have ended.
constexpr milliseconds toldLease{1200};
/// A target's own load report is newer than the peers' counts for this long.
constexpr milliseconds loadReportLife{150};
/// How long a target gets nothing new after it shed; about the time in which one of its slots frees.
constexpr milliseconds shedRest{120};
/// How long a target gets nothing new after another process answered at its address; the registry must have heard by then.
constexpr milliseconds replacedRest{2000};
/// Changes are told for this long, so that lost datagrams are made up for.
constexpr milliseconds tellTime{1500};
/// Each finished request lowers the weight of earlier ones in the mean work of a slot by this factor.
constexpr double occupancyMemory = 0.98;
/// Slowness above which a target counts as disturbed; work times alone rarely average so far from the usual.
constexpr double disturbedSlowness = 2.5;
/// A request that was broken off after this many times the usual work counts as a disturbance.
constexpr int disturbedDelay = 4;
/// A belief is told as a byte.
constexpr double beliefScale = 255.0;

void occupied(slot_occupancy &occupancy, duration taken)
{
    const double work = toSeconds(taken);
    occupancy.squares = occupancy.squares * occupancyMemory + work * work;
    occupancy.sum = occupancy.sum * occupancyMemory + work;
}

void disturbed(target_row &row, instant now)
{
    row.disturbedAt = now;
    ++row.counts.disturbances;
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
            row.coldUntil = now + entry.coldFor;
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
    removeEnded();
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

void target_table::removeEnded()
{
    for (auto position = m_rows.begin(); position != m_rows.end();) {
        position = !position->second.isPresent && position->second.own == 0 ? m_rows.erase(position) : std::next(position);
    }
}

int target_table::inFlight(const target_row &row, instant now) const
{
    int others = 0;
    for (const auto &[peer, counts] : m_peers) {
        if (now - counts.heardAt < toldLease) {
            const auto found = counts.rows.find(row.key);
            others += found == counts.rows.end() ? 0 : found->second.inFlight;
        }
    }
    const bool isReportFresh = row.load.at != instant{} && now - row.load.at < loadReportLife;
    const int reported = isReportFresh ? row.load.running + row.load.waiting : 0;
    return std::max(row.own + others, reported);
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

duration target_table::slotWork(std::string_view service) const
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
    const auto choice = chooseAmong(candidatesFor(query, keys->second, now), query,
                                    {m_dataCentre, m_seed + m_choices, m_trials, m_floorShare, slotWork(query.service)}, now);
    if (choice) {
        choice->row->usedAt = now;
    }
    return choice;
}

bool target_table::takeUrgentNews()
{
    const bool hadNews = m_hasUrgentNews;
    m_hasUrgentNews = false;
    return hadNews;
}

void target_table::started(target_row &row)
{
    ++row.own;
    ++row.counts.sent;
}

void target_table::finished(target_row &row, target_outcome outcome, duration taken, duration usualWork, instant now)
{
    row.own = std::max(0, row.own - 1);
    switch (outcome) {
    case target_outcome::served:
        row.health.observe(goodAnswer, now);
        row.path.observe(goodAnswer, now);
        row.slowness.observe(taken, usualWork, now);
        occupied(m_occupancy[row.entry.service], taken);
        if (row.slowness.ratio(now) > disturbedSlowness) {
            disturbed(row, now);
        }
        ++row.counts.goodAnswers;
        break;
    case target_outcome::failed:
        row.health.observe(failedAnswer, now);
        row.path.observe(goodAnswer, now);
        ++row.counts.badAnswers;
        m_hasUrgentNews = true;
        break;
    case target_outcome::shed:
        row.restUntil = now + shedRest;
        break;
    case target_outcome::replaced:
        row.restUntil = now + replacedRest;
        ++row.counts.replacements;
        disturbed(row, now);
        break;
    case target_outcome::broken:
        row.path.observe(brokenConnection, now);
        disturbed(row, now);
        break;
    case target_outcome::reset:
        row.path.observe(goodAnswer, now);
        disturbed(row, now);
        suspect(row, now);
        break;
    case target_outcome::cancelled:
        if (taken > usualWork * disturbedDelay) {
            disturbed(row, now);
        }
        break;
    }
    row.toldAt = now;
}

void target_table::suspect(target_row &row, instant now)
{
    row.health.observe(suspiciousEnd, now);
    ++row.counts.suspicions;
    row.toldAt = now;
}

void target_table::reported(target_row &row, load_report report)
{
    row.load = report;
}

void target_table::told(std::uint64_t peer, const std::vector<told_target> &rows, instant now)
{
    peer_counts &counts = m_peers[peer];
    const bool isFirst = counts.heardAt == instant{};
    counts.heardAt = now;
    for (auto &[key, row] : counts.rows) {
        row.inFlight = 0;
    }
    for (const auto &row : rows) {
        auto [position, isNew] = counts.rows.try_emplace(row.key, row);
        const target_counts before = isNew ? target_counts() : position->second.counts;
        position->second = row;
        target_row *target = find(row.key);
        // A peer's first message sums up its whole past, which is no news.
        if (target == nullptr || isFirst) {
            continue;
        }
        if (row.counts.sent != before.sent) {
            target->usedAt = now;
        }
        if (row.counts.disturbances > before.disturbances) {
            target->disturbedElsewhereAt = now;
        }
        if (row.counts.replacements > before.replacements) {
            target->restUntil = std::max(target->restUntil, now + replacedRest);
        }
        constexpr std::uint32_t mostAtOnce = 8;
        const auto repeat = [&](std::uint32_t newer, std::uint32_t older, evidence_weight weight) {
            const std::uint32_t times = newer > older ? std::min(newer - older, mostAtOnce) : 0;
            for (std::uint32_t i = 0; i < times; ++i) {
                target->health.observe(weight, now);
            }
        };
        repeat(row.counts.badAnswers, before.badAnswers, failedAnswer);
        repeat(row.counts.goodAnswers, before.goodAnswers, goodAnswer);
        repeat(row.counts.suspicions, before.suspicions, toldSuspicion);
    }
    for (auto position = m_peers.begin(); position != m_peers.end();) {
        constexpr seconds forgetPeer{30};
        position = now - position->second.heardAt > forgetPeer ? m_peers.erase(position) : std::next(position);
    }
}

std::vector<told_target> target_table::tell(instant now) const
{
    std::vector<told_target> told;
    for (const auto &[key, row] : m_rows) {
        const bool isRecent = row.toldAt != instant{} && now - row.toldAt < tellTime;
        if (row.own > 0 || isRecent) {
            told.push_back({key, static_cast<std::uint16_t>(row.own), row.counts});
        }
    }
    return told;
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

std::string target_table::beliefs(instant now) const
{
    std::string bytes;
    for (const std::uint64_t key : presentKeys()) {
        bytes.push_back(static_cast<char>(static_cast<unsigned char>(m_rows.at(key).health.sickness(now) * beliefScale)));
    }
    return bytes;
}

void target_table::adoptBeliefs(std::string_view beliefs, instant now)
{
    const auto keys = presentKeys();
    if (beliefs.size() != keys.size()) {
        return; // Told before one of the two took up the newest targets.
    }
    for (std::size_t i = 0; i < keys.size(); ++i) {
        m_rows.at(keys[i]).health.adopt(static_cast<unsigned char>(beliefs[i]) / beliefScale, now);
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
