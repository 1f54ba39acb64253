#include "balance/target_choice.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <cmath>

namespace flamingofield {

namespace {

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
/// A target that nobody used for this long gets the next request of its first trier if too many are unused; below the two
/// seconds within which most targets of a service must see work.
constexpr milliseconds trialInterval{1450};
/// The same for idempotent requests, the cheaper trials, which therefore come first.
constexpr milliseconds trialIntervalIdempotent{1100};
/// The other triers step in if the first one has no request for this long; above the time that news takes between them.
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
/// A target counts as undisturbed after this time; twice the time after which the platform takes a machine for stable.
constexpr milliseconds disturbanceTime{6000};
/// Prefers emptier targets; small against the differences that health makes.
constexpr double loadPenalty = 0.06;
/// Worth of an answer that misses its aim.
constexpr double lateShare = 0.35;
/// Newly started targets work at about half speed.
constexpr double coldSlowness = 2.0;

/// Expected share of the request's worth if the target begins with it after a delay.
double promiseOf(const target_row &row, const target_query &query, duration delay, instant now)
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

/// Time until one of a busy target's slots becomes free.
duration slotFrees(const target_row &row, const target_query &query, duration slotWork, instant now)
{
    const double work = std::max(toSeconds(query.usualWork), toSeconds(slotWork));
    const double wait = work * row.slowness.ratio(now) / std::max(1, row.entry.slots);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait));
}

/// True if this node is to try a target that has been found unused for too long: the first trier at once, others if it does not.
bool isOwnTrial(const target_row &row, const trial_duty &trials, instant now)
{
    const bool isFirst = row.key % trials.triers == trials.index;
    return isFirst || now - row.trialDueAt >= otherTrierDelay;
}

std::size_t mayStayUnused(const std::vector<target_candidate> &candidates, double unservedShare, double floorShare, instant now)
{
    const auto undisturbed = std::count_if(candidates.begin(), candidates.end(), [&](const target_candidate &each) {
        return now - std::max(each.row->disturbedAt, each.row->disturbedElsewhereAt) > disturbanceTime;
    });
    const double all = static_cast<double>(candidates.size());
    const double disturbed = all - static_cast<double>(undisturbed);
    const bool isDisturbed = disturbed >= leastDisturbed && disturbed > disturbedShare * all;
    const double left = unservedShare > troubledShare ? troubledUnused : isDisturbed ? disturbedUnused : 1.0;
    const double allowed = (1.0 - floorShare) * left;
    return static_cast<std::size_t>(allowed * static_cast<double>(undisturbed));
}

/// Marks the targets that this request should try because nobody has used them for a while.
void markTrials(std::vector<target_candidate> &candidates, const target_query &query, const choice_terms &terms, std::size_t unusedAllowed,
                instant now)
{
    const bool isRepeat = query.excluded != nullptr && !query.excluded->empty();
    if (isRepeat || terms.trials.triers == 0) {
        return; // A request that has failed once goes where it promises most.
    }
    const duration interval = query.mayRepeat ? trialIntervalIdempotent : trialInterval;
    // From the sickest to the soundest, the first few undisturbed ones without work are let be.
    std::size_t unusedLeft = unusedAllowed;
    for (target_candidate &each : candidates) {
        target_row &row = *each.row;
        const bool isUnused = each.isFree && now - row.disturbedAt > disturbanceTime && now - row.usedAt > interval;
        const bool isDue = isUnused && unusedLeft == 0;
        unusedLeft -= isUnused && unusedLeft > 0 ? 1 : 0;
        if (!isDue) {
            row.trialDueAt = isUnused || now - row.usedAt <= trialIntervalIdempotent ? instant{} : row.trialDueAt;
            continue;
        }
        row.trialDueAt = row.trialDueAt == instant{} ? now : row.trialDueAt;
        each.isTrial = isOwnTrial(row, terms.trials, now);
    }
}

double utilityOf(const target_candidate &each, std::string_view dataCentre)
{
    const double distance = each.row->entry.dataCentre == dataCentre ? 0.0 : remotePenalty;
    return each.promise - distance - loadPenalty * static_cast<double>(each.inFlight) / std::max(1, each.row->entry.slots);
}

/// Utility with what decides among near equals.
double orderOf(const target_candidate &each, const choice_terms &terms, instant now)
{
    // Each node breaks ties in its own order, so that nodes with the same view do not meet at one target.
    constexpr double tieBreak = 0.02;
    constexpr double hashRange = 9007199254740992.0;
    const double refresh = std::min(mostRefresh, refreshPerSecond * toSeconds(now - each.row->usedAt))
        * std::max(0.0, 1.0 - each.sickness / unknownSickness);
    const double tie = tieBreak * static_cast<double>(hashOf(each.row->entry.id, terms.tieSeed) >> 11U) / hashRange;
    return utilityOf(each, terms.dataCentre) + refresh + (each.isTrial ? 1.0 : 0.0) + tie;
}

double bestPromiseOfWaiting(const std::vector<target_candidate> &candidates, const target_query &query, duration slotWork, instant now)
{
    double best = 0.0;
    for (const target_candidate &each : candidates) {
        if (!each.isFree) {
            best = std::max(best, promiseOf(*each.row, query, query.lineWait + slotFrees(*each.row, query, slotWork, now), now));
        }
    }
    return best;
}

/// The free candidate that comes first, if any.
const target_candidate *firstInOrder(const std::vector<target_candidate> &candidates, const choice_terms &terms, instant now)
{
    const target_candidate *best = nullptr;
    double bestOrder = 0.0;
    for (const target_candidate &each : candidates) {
        const double order = each.isFree ? orderOf(each, terms, now) : 0.0;
        if (each.isFree && (best == nullptr || order > bestOrder)) {
            best = &each;
            bestOrder = order;
        }
    }
    return best;
}

double bestPromise(const std::vector<target_candidate> &candidates)
{
    double best = 0.0;
    for (const target_candidate &each : candidates) {
        best = std::max(best, each.promise);
    }
    return best;
}

} // namespace

target_candidate candidateOf(target_row &row, const target_query &query, int inFlight, instant now)
{
    const bool isFree = inFlight < row.entry.slots && now >= row.restUntil;
    return {&row, row.health.sickness(now), promiseOf(row, query, duration::zero(), now), inFlight, isFree, false};
}

std::optional<target_choice> chooseAmong(std::vector<target_candidate> candidates, const target_query &query, const choice_terms &terms,
                                         instant now)
{
    std::sort(candidates.begin(), candidates.end(),
              [](const target_candidate &a, const target_candidate &b) { return a.sickness > b.sickness; });
    const std::size_t unusedAllowed = mayStayUnused(candidates, query.unservedShare, terms.floorShare, now);
    markTrials(candidates, query, terms, unusedAllowed, now);
    const target_candidate *best = firstInOrder(candidates, terms, now);
    if (best == nullptr) {
        return std::nullopt;
    }
    const double leastSound = bestPromise(candidates) - soundMargin;
    const auto isSound = [&](const target_candidate &each) { return each.promise >= leastSound; };
    int freeSlots = 0;
    for (const target_candidate &each : candidates) {
        freeSlots += each.isFree && isSound(each) ? each.freeSlots() : 0;
    }
    // Only sound slots are kept for urgent work; what takes a poorer one takes nothing from it.
    const bool isReserved = isSound(*best) && freeSlots <= query.reservedSlots;
    const bool isWorthWaiting = !best->isTrial && best->promise + impatience < bestPromiseOfWaiting(candidates, query, terms.slotWork, now);
    if (isReserved || isWorthWaiting) {
        return std::nullopt;
    }
    target_choice choice;
    choice.row = best->row;
    choice.utility = utilityOf(*best, terms.dataCentre);
    choice.sickness = best->sickness;
    choice.slowness = best->row->slowness.ratio(now);
    choice.inFlight = best->inFlight;
    choice.freeSlots = freeSlots;
    choice.isTrial = best->isTrial;
    choice.unservedShare = query.unservedShare;
    choice.mayStayUnused = unusedAllowed;
    return choice;
}

} // namespace flamingofield
