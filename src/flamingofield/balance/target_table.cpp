#include "balance/target_table.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <cmath>

namespace flamingofield {

namespace {

/// Counts told by a peer are dropped when the peer has been silent for this long; it may have ended.
constexpr milliseconds toldLease{1200};
/// A target's own load report is newer than the peers' counts for this long.
constexpr milliseconds loadReportLife{150};
/// How long a target gets nothing new after it shed; about the time in which one of its slots frees.
constexpr milliseconds shedRest{120};
/// Changes are told for this long, so that lost datagrams are made up for.
constexpr milliseconds tellTime{1500};
/// Of a sick target's requests, the part that fails.
constexpr double sickFailureShare = 0.75;
/// Expected worth lost to traffic between data centres, as a share of a request's worth.
constexpr double remotePenalty = 0.06;
/// A request waits rather than take a free target that promises less than waiting by more than this.
constexpr double impatience = 0.08;
/// A sound target that is not used becomes unknown, and unknown targets fail far more often than those known to be sound.
/// Using it again in time is worth this much, per second since its last use.
constexpr double refreshPerSecond = 0.2;
constexpr double mostRefresh = 0.25;
/// Sickness from which a target counts as unknown; a sound one reaches it about three seconds after its last success.
constexpr double unknownSickness = 0.1;
/// Worth of a failed idempotent request that is sent again, as a share of one that succeeds at once. Low enough that a target
/// which fails within milliseconds does not use up the budget for repeats.
constexpr double repeatWorth = 0.4;
/// Targets that promise less than the best one by more than this are not counted as room for urgent work.
constexpr double soundMargin = 0.3;
/// Each finished request lowers the weight of earlier ones in the mean work of a slot by this factor.
constexpr double occupancyMemory = 0.98;
/// A target that nobody used for this long gets the next request of its first trier if too many are unused; below the two
/// seconds within which most targets of a service must see work.
constexpr milliseconds trialInterval{1450};
/// The same for idempotent requests, the cheaper trials, which therefore come first.
constexpr milliseconds trialIntervalIdempotent{1100};
/// Added for the other triers, who step in if the first one has no request; above the time that news takes between them.
constexpr milliseconds otherTrierDelay{250};
/// Part of a service's requests that are not served above which hardly any target is left out. The floor binds from a tenth on.
constexpr double troubledShare = 0.09;
/// What remains of the targets that may stay unused then.
constexpr double troubledUnused = 0.1;
/// Part of a service's targets with a disturbance above which fewer are left out: others have one that this node does not see,
/// and those without any may be few.
constexpr double disturbedShare = 0.06;
/// Fewer disturbed targets than this show nothing about the others, as in a service of ten.
constexpr double leastDisturbed = 3.0;
/// What remains of the targets that may stay unused then.
constexpr double disturbedUnused = 0.4;
/// Slowness above which a target counts as disturbed; work times alone rarely average so far from the usual.
constexpr double disturbedSlowness = 2.5;
/// A request that was broken off after this many times the usual work counts as a disturbance.
constexpr int disturbedDelay = 4;
/// A target counts as undisturbed after this time; twice the time after which the platform takes a machine for stable.
constexpr milliseconds disturbanceTime{6000};
/// A belief is told as a byte.
constexpr double beliefScale = 255.0;
/// Prefers emptier targets; small against the differences that health makes.
constexpr double loadPenalty = 0.06;
/// Worth of an answer that misses its aim.
constexpr double lateShare = 0.35;
/// Newly started targets work at about half speed.
constexpr double coldSlowness = 2.0;

void occupied(slot_occupancy &occupancy, duration taken)
{
    const double work = toSeconds(taken);
    occupancy.squares = occupancy.squares * occupancyMemory + work * work;
    occupancy.sum = occupancy.sum * occupancyMemory + work;
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

/// A target that may take the request, with what is believed of it now.
struct target_table::candidate
{
    target_row *row = nullptr;
    double sickness = 0.0;
    double promise = 0.0; ///< If it begins at once.
    int inFlight = 0;
    bool isFree = false;
    bool isTrial = false; ///< Due for a trial.

    int freeSlots() const
    {
        return row->entry.slots - inFlight;
    }
};

double target_table::promiseOf(const target_row &row, const target_query &query, duration delay, instant now) const
{
    const double sickness = row.health.sickness(now);
    const double pathSickness = row.path.sickness(now);
    const double success = (1.0 - sickness * sickFailureShare) * (1.0 - pathSickness * brokenConnection.whenSick);
    const double slowness = std::max(row.slowness.ratio(now), now < row.coldUntil ? coldSlowness : 0.0);
    const double expected = std::max(0.001, toSeconds(query.usualWork) * slowness);
    // Work times vary widely, so the chance to be in time falls smoothly with the expected time.
    const auto chanceWithin = [&](duration left) {
        const double ratio = toSeconds(left - delay) / expected;
        return ratio <= 0.0 ? 0.0 : 1.0 - std::exp(-ratio);
    };
    const double inTime = chanceWithin(query.aimLeft);
    const double atAll = chanceWithin(query.timeLeft);
    const double worth = inTime + lateShare * std::max(0.0, atAll - inTime);
    const double repeated = query.mayRepeat ? repeatWorth * (1.0 - success) : 0.0;
    return (success + repeated) * worth;
}

duration target_table::slotFrees(const target_row &row, const target_query &query, instant now) const
{
    double work = toSeconds(query.usualWork);
    const auto found = m_occupancy.find(row.entry.service);
    if (found != m_occupancy.end() && found->second.sum > 0.0) {
        work = std::max(work, found->second.squares / found->second.sum);
    }
    const double wait = work * row.slowness.ratio(now) / std::max(1, row.entry.slots);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait));
}

std::vector<target_table::candidate> target_table::candidatesFor(const target_query &query, const std::vector<std::uint64_t> &keys,
                                                                 instant now)
{
    std::vector<candidate> candidates;
    for (const std::uint64_t key : keys) {
        target_row &row = m_rows.at(key);
        const bool isExcluded
            = query.excluded != nullptr && std::find(query.excluded->begin(), query.excluded->end(), row.entry.id) != query.excluded->end();
        if (!isExcluded) {
            const int there = inFlight(row, now);
            const bool isFree = there < row.entry.slots && now >= row.restUntil;
            candidates.push_back({&row, row.health.sickness(now), promiseOf(row, query, duration::zero(), now), there, isFree, false});
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const candidate &a, const candidate &b) { return a.sickness > b.sickness; });
    return candidates;
}

duration target_table::trialAfter(const target_row &row, bool mayRepeat) const
{
    if (m_trials.triers == 0) {
        return duration::max();
    }
    const bool isFirst = row.key % m_trials.triers == m_trials.index;
    return (mayRepeat ? trialIntervalIdempotent : trialInterval) + (isFirst ? milliseconds(0) : otherTrierDelay);
}

std::size_t target_table::mayStayUnused(const std::vector<candidate> &candidates, double unservedShare, instant now) const
{
    const auto undisturbed = std::count_if(candidates.begin(), candidates.end(),
                                           [&](const candidate &each) { return now - each.row->disturbedAt > disturbanceTime; });
    const double all = static_cast<double>(candidates.size());
    const double disturbed = all - static_cast<double>(undisturbed);
    const bool isDisturbed = disturbed >= leastDisturbed && disturbed > disturbedShare * all;
    const double left = unservedShare > troubledShare ? troubledUnused : isDisturbed ? disturbedUnused : 1.0;
    const double allowed = (1.0 - m_floorShare) * left;
    return static_cast<std::size_t>(allowed * static_cast<double>(undisturbed));
}

void target_table::markTrials(std::vector<candidate> &candidates, const target_query &query, instant now) const
{
    const bool isRepeat = query.excluded != nullptr && !query.excluded->empty();
    if (isRepeat) {
        return; // A request that has failed once goes where it promises most.
    }
    // From the sickest to the soundest, the first few undisturbed ones without work are let be.
    std::size_t unusedLeft = mayStayUnused(candidates, query.unservedShare, now);
    for (candidate &each : candidates) {
        const bool isDue = each.isFree && now - each.row->disturbedAt > disturbanceTime
            && now - each.row->usedAt > trialAfter(*each.row, query.mayRepeat);
        if (isDue && unusedLeft > 0) {
            --unusedLeft;
        } else {
            each.isTrial = isDue;
        }
    }
}

double target_table::utilityOf(const candidate &each) const
{
    const double distance = each.row->entry.dataCentre == m_dataCentre ? 0.0 : remotePenalty;
    return each.promise - distance - loadPenalty * static_cast<double>(each.inFlight) / std::max(1, each.row->entry.slots);
}

double target_table::orderOf(const candidate &each, instant now) const
{
    // Each node breaks ties in its own order, so that nodes with the same view do not meet at one target.
    constexpr double tieBreak = 0.02;
    constexpr double hashRange = 9007199254740992.0;
    const double refresh = std::min(mostRefresh, refreshPerSecond * toSeconds(now - each.row->usedAt))
        * std::max(0.0, 1.0 - each.sickness / unknownSickness);
    const double tie = tieBreak * static_cast<double>(hashOf(each.row->entry.id, m_seed + m_choices) >> 11U) / hashRange;
    return utilityOf(each) + refresh + (each.isTrial ? 1.0 : 0.0) + tie;
}

double target_table::bestPromiseOfWaiting(const std::vector<candidate> &candidates, const target_query &query, instant now) const
{
    double best = 0.0;
    for (const candidate &each : candidates) {
        if (!each.isFree) {
            best = std::max(best, promiseOf(*each.row, query, query.lineWait + slotFrees(*each.row, query, now), now));
        }
    }
    return best;
}

std::optional<target_choice> target_table::choose(const target_query &query, instant now)
{
    const auto keys = m_byService.find(std::string(query.service));
    if (keys == m_byService.end()) {
        return std::nullopt;
    }
    ++m_choices;
    auto candidates = candidatesFor(query, keys->second, now);
    markTrials(candidates, query, now);
    const candidate *best = nullptr;
    double bestOrder = 0.0;
    double bestPromise = 0.0;
    for (const candidate &each : candidates) {
        bestPromise = std::max(bestPromise, each.promise);
        const double order = each.isFree ? orderOf(each, now) : 0.0;
        if (each.isFree && (best == nullptr || order > bestOrder)) {
            best = &each;
            bestOrder = order;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    const auto isSound = [&](const candidate &each) { return each.promise + soundMargin >= bestPromise; };
    int freeSlots = 0;
    for (const candidate &each : candidates) {
        freeSlots += each.isFree && isSound(each) ? each.freeSlots() : 0;
    }
    // Only sound slots are kept for urgent work; what takes a poorer one takes nothing from it.
    const bool isReserved = isSound(*best) && freeSlots <= query.reservedSlots;
    const bool isWorthWaiting = !best->isTrial && best->promise + impatience < bestPromiseOfWaiting(candidates, query, now);
    if (isReserved || isWorthWaiting) {
        return std::nullopt;
    }
    best->row->usedAt = now;
    return target_choice{best->row,      utilityOf(*best), best->sickness, best->row->slowness.ratio(now),
                         best->inFlight, freeSlots,        best->isTrial};
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
            row.disturbedAt = now;
        }
        ++row.goodAnswers;
        break;
    case target_outcome::failed:
        row.health.observe(failedAnswer, now);
        row.path.observe(goodAnswer, now);
        ++row.badAnswers;
        m_hasUrgentNews = true;
        break;
    case target_outcome::shed:
        row.restUntil = now + shedRest;
        break;
    case target_outcome::broken:
        row.path.observe(brokenConnection, now);
        row.disturbedAt = now;
        break;
    case target_outcome::reset:
        row.path.observe(goodAnswer, now);
        row.disturbedAt = now;
        suspect(row, now);
        break;
    case target_outcome::cancelled:
        if (taken > usualWork * disturbedDelay) {
            row.disturbedAt = now;
        }
        break;
    }
    row.toldAt = now;
}

void target_table::suspect(target_row &row, instant now)
{
    row.health.observe(suspiciousEnd, now);
    ++row.suspicions;
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
        const told_target before = isNew ? told_target{row.key, 0, 0, 0, 0} : position->second;
        position->second = row;
        target_row *target = find(row.key);
        // A peer's first message sums up its whole past, which is no news.
        if (target == nullptr || isFirst) {
            continue;
        }
        if (row.inFlight > before.inFlight || row.goodAnswers != before.goodAnswers || row.badAnswers != before.badAnswers) {
            target->usedAt = now;
        }
        constexpr std::uint32_t mostAtOnce = 8;
        const auto repeat = [&](std::uint32_t newer, std::uint32_t older, evidence_weight weight) {
            const std::uint32_t times = newer > older ? std::min(newer - older, mostAtOnce) : 0;
            for (std::uint32_t i = 0; i < times; ++i) {
                target->health.observe(weight, now);
            }
        };
        repeat(row.badAnswers, before.badAnswers, failedAnswer);
        repeat(row.goodAnswers, before.goodAnswers, goodAnswer);
        repeat(row.suspicions, before.suspicions, toldSuspicion);
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
            told.push_back({key, static_cast<std::uint16_t>(row.own), row.goodAnswers, row.badAnswers, row.suspicions});
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
