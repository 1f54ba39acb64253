#include "balance/target_choice.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <cmath>

namespace flamingofield {

namespace {

/// A request waits for a busy target if that raises the expected value by more than this over the best free target.
constexpr double minWaitingGain = 0.08;
/// A healthy target that gets no requests becomes one of unknown health, and those fail far more often than targets that are known
/// to be healthy. This bonus, per second since the last use, makes it be used again in time.
constexpr double idleBonusPerSecond = 0.2;
constexpr double maxIdleBonus = 0.25;
/// Probability of being unhealthy from which a target's health counts as unknown; a healthy target reaches it about three seconds
/// after its last successful answer.
constexpr double unknownHealthThreshold = 0.1;
/// Value of an idempotent request that is served by a retry, as a share of one that succeeds at once. Low enough that a target
/// which fails within milliseconds does not use up the retry budget.
constexpr double retriedAnswerValue = 0.4;
/// The slots of targets whose expected value is lower than the best one by more than this are not reserved for urgent requests.
constexpr double reservableValueMargin = 0.3;
/// If too many targets are unused, one that no node has used for this long gets a trial request from its assigned node. Below the
/// two seconds within which most targets of a service must get a request.
constexpr milliseconds unusedTimeBeforeTrial{1450};
/// The same for idempotent requests. It is shorter, so that trials are made with requests that can be retried if possible.
constexpr milliseconds unusedTimeBeforeIdempotentTrial{1100};
/// The other trial nodes make the trial if the assigned one has not done so after this time, which is longer than reports take
/// between them.
constexpr milliseconds fallbackTrialDelay{250};
/// No trial for this long after an error answer, which makes it likely that the next request fails, too. The platform counts the
/// target as healthy again after two seconds and checks its use over the two seconds after that; the rest is for the fallback delay
/// and the age of reports.
constexpr milliseconds trialDelayAfterError{3200};
/// If a larger share of a service's requests is not served, hardly any target may stay unused. The platform checks the
/// floor share only while more than a tenth of the requests is not served; this threshold is slightly below.
constexpr double failingServiceThreshold = 0.09;
/// Factor on the number of targets that may stay unused in that case.
constexpr double failingServiceUnusedFactor = 0.1;
/// If a larger share of a service's targets is impaired, fewer may stay unused: others may have impairments that this node does
/// not see, so that few unimpaired targets remain.
constexpr double impairedShareThreshold = 0.06;
/// Fewer impaired targets than this say nothing about the others, for example in a service of ten targets.
constexpr double minImpairedTargets = 3.0;
/// Factor on the number of targets that may stay unused in that case.
constexpr double impairedUnusedFactor = 0.4;
/// A target counts as impaired for this long after an impairment; twice the time after which the platform considers a machine stable.
constexpr milliseconds impairmentDuration{6000};
/// Penalty for a fully used target; small compared with the differences that health makes.
constexpr double loadPenalty = 0.06;
/// Value of an answer that misses its latency objective, as a share of one that meets it.
constexpr double lateAnswerValue = 0.35;

/// Expected share of the request's value if the target starts it after a delay.
double expectedValueOf(const target_row &row, const target_query &query, duration delay, instant now)
{
    const double unhealthyProbability = row.health.unhealthyProbability(now);
    const double pathUnhealthyProbability = row.path.unhealthyProbability(now);
    const double success
        = (1.0 - unhealthyProbability * unhealthyFailureShare) * (1.0 - pathUnhealthyProbability * connectionFailureEvidence.ifUnhealthy);
    const double slowness = std::max(row.slowness.ratio(now), now < row.warmUpUntil ? warmUpSlowness : 0.0);
    const double expected = std::max(0.001, toSeconds(query.meanServiceTime) * slowness);
    // Service times vary widely; an exponential distribution with the expected time as its mean is assumed.
    const auto chanceWithin = [&](duration left) {
        const double ratio = toSeconds(left - delay) / expected;
        return ratio <= 0.0 ? 0.0 : 1.0 - std::exp(-ratio);
    };
    const double inTime = chanceWithin(query.objectiveTimeLeft);
    const double beforeDeadline = chanceWithin(query.timeLeft);
    const double value = inTime + lateAnswerValue * std::max(0.0, beforeDeadline - inTime);
    const double retriedValue = query.isIdempotent ? retriedAnswerValue * (1.0 - success) : 0.0;
    return (success + retriedValue) * value;
}

/// Expected time until a slot of a busy target becomes free.
duration timeToFreeSlot(const target_row &row, const target_query &query, duration slotServiceTime, instant now)
{
    const double serviceTime = std::max(toSeconds(query.meanServiceTime), toSeconds(slotServiceTime));
    const double wait = serviceTime * row.slowness.ratio(now) / std::max(1, row.entry.slots);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait));
}

/// True if this node should make the trial of a target that is due for one: the assigned node at once, the others only if the
/// assigned one has not done so within fallbackTrialDelay.
bool isTrialForThisNode(const target_row &row, const trial_assignment &assignment, instant now)
{
    const bool isAssigned = row.key % assignment.nodeCount == assignment.nodeIndex;
    return isAssigned || now - row.trialDueSince >= fallbackTrialDelay;
}

bool hasRecentError(const target_row &row, instant now)
{
    return row.lastErrorAt != instant{} && now - row.lastErrorAt < trialDelayAfterError;
}

std::size_t maxUnusedTargets(const std::vector<target_candidate> &candidates, double unservedShare, double floorShare, instant now)
{
    double impaired = 0.0;
    double counted = 0.0; // Targets of which the floor share must stay in use.
    for (const target_candidate &each : candidates) {
        const bool isImpaired = now - std::max(each.row->impairedAt, each.row->impairedAtPeersAt) <= impairmentDuration;
        impaired += isImpaired ? 1.0 : 0.0;
        counted += isImpaired || hasRecentError(*each.row, now) ? 0.0 : 1.0;
    }
    const bool hasManyImpaired
        = impaired >= minImpairedTargets && impaired > impairedShareThreshold * static_cast<double>(candidates.size());
    const double unusedFactor = unservedShare > failingServiceThreshold ? failingServiceUnusedFactor
        : hasManyImpaired                                               ? impairedUnusedFactor
                                                                        : 1.0;
    return static_cast<std::size_t>((1.0 - floorShare) * unusedFactor * counted);
}

/// Marks the targets to which this request should go because no node has used them for a while.
void markTrials(std::vector<target_candidate> &candidates, const target_query &query, const choice_parameters &parameters,
                std::size_t unusedAllowed, instant now)
{
    const bool isRetry = query.excluded != nullptr && !query.excluded->empty();
    if (isRetry || parameters.trialAssignment.nodeCount == 0) {
        return; // A retry is not used for a trial. A queued retry is not recognised here, since its excluded targets are cleared.
    }
    const duration interval = query.isIdempotent ? unusedTimeBeforeIdempotentTrial : unusedTimeBeforeTrial;
    // The candidates are sorted by health, the least healthy one first; of the unused ones, the first unusedAllowed get no trial.
    std::size_t unusedLeft = unusedAllowed;
    for (target_candidate &each : candidates) {
        target_row &row = *each.row;
        const bool isExempt = now - row.impairedAt <= impairmentDuration || hasRecentError(row, now);
        const bool isUnused = each.isFree && !isExempt && now - row.lastUsedAt > interval;
        const bool isDue = isUnused && unusedLeft == 0;
        unusedLeft -= isUnused && unusedLeft > 0 ? 1 : 0;
        if (!isDue) {
            row.trialDueSince = isUnused || now - row.lastUsedAt <= unusedTimeBeforeIdempotentTrial ? instant{} : row.trialDueSince;
            continue;
        }
        row.trialDueSince = row.trialDueSince == instant{} ? now : row.trialDueSince;
        each.isTrial = isTrialForThisNode(row, parameters.trialAssignment, now);
    }
}

double distanceOf(const target_candidate &each, const target_query &query, const choice_parameters &parameters)
{
    if (parameters.share != nullptr) {
        return parameters.share->distanceTo(each.row->entry.dataCentre, query.transferBytes);
    }
    return each.row->entry.dataCentre == parameters.dataCentre ? 0.0 : assumedRemoteCost;
}

/// True if the target is in another data centre and the bound on the remote share is reached. Trials of unused targets are exempt.
bool isBarred(const target_candidate &each, const choice_parameters &parameters)
{
    return parameters.share != nullptr && !each.isTrial && each.row->entry.dataCentre != parameters.dataCentre
        && !parameters.share->isRemoteAllowed();
}

double utilityOf(const target_candidate &each, const target_query &query, const choice_parameters &parameters)
{
    const double distance = distanceOf(each, query, parameters);
    return each.expectedValue - distance - loadPenalty * static_cast<double>(each.inFlight) / std::max(1, each.row->entry.slots);
}

/// Utility with the bonuses and the tie break that decide between nearly equal candidates.
double selectionScoreOf(const target_candidate &each, const target_query &query, const choice_parameters &parameters, instant now)
{
    // Each node breaks ties in its own order, so that nodes with the same data do not all choose the same target.
    constexpr double tieBreak = 0.02;
    constexpr double hashRange = 9007199254740992.0; // 2^53: the upper 53 bits of the hash, which a double holds exactly.
    const double idleBonus = std::min(maxIdleBonus, idleBonusPerSecond * toSeconds(now - each.row->lastUsedAt))
        * std::max(0.0, 1.0 - each.unhealthyProbability / unknownHealthThreshold);
    const double tie = tieBreak * static_cast<double>(hashOf(each.row->entry.id, parameters.tieSeed) >> 11U) / hashRange;
    return utilityOf(each, query, parameters) + idleBonus + (each.isTrial ? 1.0 : 0.0) + tie;
}

/// Cost of distance beyond the assumed one, which does not count when waiting for a busy target is weighed.
double extraDistanceOf(const target_candidate &each, const target_query &query, const choice_parameters &parameters)
{
    return std::max(0.0, distanceOf(each, query, parameters) - assumedRemoteCost);
}

double bestValueOfWaiting(const std::vector<target_candidate> &candidates, const target_query &query, const choice_parameters &parameters,
                          instant now)
{
    double best = 0.0;
    for (const target_candidate &each : candidates) {
        if (!each.isFree) {
            const duration wait = query.queueWait + timeToFreeSlot(*each.row, query, parameters.slotServiceTime, now);
            best = std::max(best, expectedValueOf(*each.row, query, wait, now) - extraDistanceOf(each, query, parameters));
        }
    }
    return best;
}

/// Decides whether a request waits for a busy target rather than taking a free one.
class waiting_rule
{
public:
    waiting_rule(const std::vector<target_candidate> &candidates, const target_query &query, const choice_parameters &parameters,
                 instant now)
        : m_query(query)
        , m_parameters(parameters)
        , m_waitingValue(bestValueOfWaiting(candidates, query, parameters, now))
    {
    }

    bool isWorthWaiting(const target_candidate &best) const
    {
        return !best.isTrial && best.expectedValue - extraDistanceOf(best, m_query, m_parameters) + minWaitingGain < m_waitingValue;
    }

    /// True if the candidate is left out, so that a better free one can be chosen. The bonuses and the cost of distance often give a
    /// poor target the highest score, and the request would then wait although others are free. Only while shares are active: the
    /// choice with the fixed cost stays as it was.
    bool isLeftOut(const target_candidate &each) const
    {
        return m_parameters.share != nullptr && m_parameters.share->isActive() && isWorthWaiting(each);
    }

private:
    const target_query &m_query;
    const choice_parameters &m_parameters;
    double m_waitingValue;
};

/// The free candidate with the highest selection score, or null.
const target_candidate *bestFreeCandidate(const std::vector<target_candidate> &candidates, const target_query &query,
                                          const choice_parameters &parameters, const waiting_rule &waiting, instant now)
{
    const target_candidate *best = nullptr;
    double bestScore = 0.0;
    for (const target_candidate &each : candidates) {
        const bool isUsable = each.isFree && !isBarred(each, parameters) && !waiting.isLeftOut(each);
        const double score = isUsable ? selectionScoreOf(each, query, parameters, now) : 0.0;
        if (isUsable && (best == nullptr || score > bestScore)) {
            best = &each;
            bestScore = score;
        }
    }
    return best;
}

double bestExpectedValue(const std::vector<target_candidate> &candidates)
{
    double best = 0.0;
    for (const target_candidate &each : candidates) {
        best = std::max(best, each.expectedValue);
    }
    return best;
}

} // namespace

bool hasFreeSlotFor(const target_row &row, int inFlight, instant now)
{
    return inFlight < row.entry.slots && now >= row.backoffUntil;
}

target_candidate candidateOf(target_row &row, const target_query &query, int inFlight, instant now)
{
    return {&row,     row.health.unhealthyProbability(now), expectedValueOf(row, query, duration::zero(), now),
            inFlight, hasFreeSlotFor(row, inFlight, now),   false};
}

std::optional<target_choice> chooseAmong(std::vector<target_candidate> candidates, const target_query &query,
                                         const choice_parameters &parameters, instant now)
{
    std::sort(candidates.begin(), candidates.end(),
              [](const target_candidate &a, const target_candidate &b) { return a.unhealthyProbability > b.unhealthyProbability; });
    const std::size_t unusedAllowed = maxUnusedTargets(candidates, query.unservedShare, parameters.floorShare, now);
    markTrials(candidates, query, parameters, unusedAllowed, now);
    const waiting_rule waiting(candidates, query, parameters, now);
    const target_candidate *best = bestFreeCandidate(candidates, query, parameters, waiting, now);
    if (best == nullptr) {
        return std::nullopt;
    }
    const double minReservableValue = bestExpectedValue(candidates) - reservableValueMargin;
    const auto isReservable = [&](const target_candidate &each) { return each.expectedValue >= minReservableValue; };
    int freeSlots = 0;
    for (const target_candidate &each : candidates) {
        freeSlots += each.isFree && isReservable(each) ? each.freeSlots() : 0;
    }
    // Only slots of reservable targets are reserved for urgent requests; other slots may be used at any time.
    const bool isReserved = isReservable(*best) && freeSlots <= query.reservedSlots;
    if (isReserved || waiting.isWorthWaiting(*best)) {
        return std::nullopt;
    }
    target_choice choice;
    choice.row = best->row;
    choice.utility = utilityOf(*best, query, parameters);
    choice.unhealthyProbability = best->unhealthyProbability;
    choice.slowness = best->row->slowness.ratio(now);
    choice.inFlight = best->inFlight;
    choice.freeSlots = freeSlots;
    choice.isTrial = best->isTrial;
    choice.unservedShare = query.unservedShare;
    choice.maxUnusedTargets = unusedAllowed;
    return choice;
}

} // namespace flamingofield
