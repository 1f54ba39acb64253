#include "judge/service_judge.hpp"

#include "judge/floor.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace flamingofield {

namespace {

constexpr milliseconds sameInstant{15}; // Bad observations of one source this close together count once.
constexpr seconds longHalfLife{60};
constexpr seconds shortHalfLife{2};
constexpr seconds rewarmingPause{60}; // Before peers may call a target warming again.
constexpr double contraryShare = 0.1; // A peer with less evidence than this share of the threshold sees the target well.
constexpr double contraryObservations = 3.0;
constexpr double selfSuspicionShare = 0.5; // Share of targets sick at once that points at this node.
constexpr std::size_t selfSuspicionLeast = 3;
constexpr seconds baseHold{5};
constexpr int mostDoublings = 6;
constexpr milliseconds trialInterval{300};
constexpr int firstTrials = 8;
constexpr int mostTrialDoublings = 3;
constexpr seconds rampLength{5};
constexpr seconds warmingLength{5};
constexpr double leastRampWeight = 0.1;
constexpr double reducedWeight = 0.3;
constexpr seconds relapseMemory{600};
constexpr milliseconds longestTick{500}; // A longer gap means that this process was paused.
constexpr double reportShare = 0.1;
constexpr seconds toldLeavingLifetime{10};

double rampWeight(duration age, duration length)
{
    const double share = toSeconds(age) / toSeconds(length);
    return std::clamp(share, leastRampWeight, 1.0);
}

double decayFactor(duration elapsed, duration halfLife)
{
    return std::exp2(-toSeconds(elapsed) / toSeconds(halfLife));
}

/// A target that failed again after its readmission must pass more trials in a row.
int trialsNeeded(const judged_target &t)
{
    return firstTrials << std::min(t.relapses, mostTrialDoublings);
}

} // namespace

const char *toString(judge_event::kind kind)
{
    constexpr std::array<const char *, 9> names{"ejected",    "denied_by_floor", "path_blamed", "restored_for_floor", "trial_started",
                                                "readmitted", "relapsed",        "leaving",     "self_suspected"};
    return names[static_cast<std::size_t>(kind)];
}

service_judge::service_judge(judge_policy policy)
    : m_policy(policy)
{
}

void service_judge::setTargets(const std::vector<target_spec> &targets, instant now)
{
    const bool isFirst = m_targets.empty();
    for (auto &row : m_targets) {
        row.isListed = false;
    }
    for (const auto &spec : targets) {
        const std::string address = toString(spec.address);
        auto row = std::find_if(m_targets.begin(), m_targets.end(), [&](const auto &t) { return t.address == address; });
        if (row == m_targets.end()) {
            judged_target added;
            added.address = address;
            added.test = makeDetector(m_policy.kind, m_policy.baselineLimit);
            // At start nothing is known of any target, so all count alike.
            added.state = isFirst ? target_state::inService : target_state::warming;
            added.since = now;
            row = m_targets.insert(m_targets.end(), std::move(added));
        }
        row->slots = spec.slots;
        row->isListed = true;
        if (row->test.index() != makeDetector(m_policy.kind).index()) {
            row->test = makeDetector(m_policy.kind, m_policy.baselineLimit);
        }
    }
}

bool service_judge::isBad(const observation &o) const
{
    if (o.kind != observed::good) {
        return true;
    }
    return m_policy.usesRelative && o.latency > m_slowLimit;
}

bool service_judge::countsAgain(judged_target &t, const observation &o) const
{
    const bool isSame = o.source == t.lastBadSource && o.at - t.lastBadAt < sameInstant;
    if (!isSame) {
        t.lastBadSource = o.source;
        t.lastBadAt = o.at;
    }
    return !isSame || !m_policy.usesRelative;
}

void service_judge::observe(const observation &o)
{
    judged_target &t = m_targets[o.target];
    if (o.isLeaving) {
        setLeaving(o.target, true, o.at);
        return;
    }
    if (o.kind == observed::shed || t.state == target_state::leaving) {
        return;
    }
    if (o.kind == observed::good) {
        addLatency(t.latency, o.latency);
    }
    if (t.state == target_state::trial) {
        observeTrial(t, o);
        return;
    }
    if (t.state == target_state::ejected) {
        return;
    }
    noteRestart(t, o);
    const bool isSlowStart = t.state == target_state::warming && (o.kind == observed::good || o.kind == observed::lateSoFar);
    if (!isBad(o) || isSlowStart) {
        ++t.batchGood;
    } else if (countsAgain(t, o)) {
        ++t.batchBad;
    }
}

void service_judge::noteRestart(judged_target &t, const observation &o)
{
    t.refusedInRow = o.kind == observed::connectFailed ? t.refusedInRow + 1 : t.refusedInRow;
    if (o.kind == observed::connectFailed || t.refusedInRow == 0) {
        return;
    }
    // It took no connections and now answers: a new process that may be slow at first.
    t.refusedInRow = 0;
    if (t.state == target_state::inService && m_policy.usesRelative) {
        beginWarming(t, o.at);
    }
}

void service_judge::beginWarming(judged_target &t, instant now)
{
    t.state = target_state::warming;
    t.since = now;
    t.lastWarmedAt = now;
    reset(t.test);
}

void service_judge::observeTrial(judged_target &t, const observation &o)
{
    if (isBad(o)) {
        t.state = target_state::ejected;
        t.relapses = std::min(t.relapses + 1, mostDoublings);
        t.holdUntil = o.at + baseHold * (1 << t.relapses);
        t.since = o.at;
        return;
    }
    ++t.trialsPassed;
}

void service_judge::hearPeer(std::uint64_t peer, const evidence_report &report, instant now)
{
    const auto row = std::find_if(m_targets.begin(), m_targets.end(), [&](const auto &t) { return t.address == report.target; });
    if (row != m_targets.end() && std::isfinite(report.score)) {
        row->peers[peer] = {std::max(report.score, 0.0), report.recent, now};
        if (report.isWarming && row->state == target_state::inService && now - row->lastWarmedAt > rewarmingPause) {
            beginWarming(*row, now);
        }
    }
}

void service_judge::setLeaving(std::size_t target, bool isLeaving, instant now)
{
    judged_target &t = m_targets[target];
    const bool isStillTold = !isLeaving && now < t.toldLeavingUntil;
    if (isLeaving == (t.state == target_state::leaving) || isStillTold) {
        return;
    }
    t.state = isLeaving ? target_state::leaving : target_state::warming;
    t.since = now;
    reset(t.test);
}

void service_judge::tellLeaving(std::size_t target, instant now)
{
    m_targets[target].toldLeavingUntil = now + toldLeavingLifetime;
    setLeaving(target, true, now);
}

evidence_view service_judge::viewAt(instant now) const
{
    return {m_targets, now, m_threshold, m_policy.usesPeers, m_policy.usesRelative};
}

void service_judge::scoreBatches(instant now)
{
    const bool wasPaused = m_lastTick != instant() && now - m_lastTick > longestTick;
    for (auto &t : m_targets) {
        // Lateness seen across a pause of this process says nothing of the target.
        t.batchBad = wasPaused ? 0 : t.batchBad;
    }
    const evidence_view view = viewAt(now);
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        judged_target &t = m_targets[i];
        if (t.batchGood + t.batchBad == 0) {
            continue;
        }
        const evidence_batch batch{t.batchGood, t.batchBad, healthyBadRate(i, view)};
        flamingofield::observe(t.test, batch);
    }
}

void service_judge::learnRates(instant now)
{
    const duration elapsed = m_lastTick == instant() ? duration(0) : now - m_lastTick;
    const double longFactor = decayFactor(elapsed, longHalfLife);
    const double shortFactor = decayFactor(elapsed, shortHalfLife);
    for (auto &t : m_targets) {
        t.longBad = t.longBad * longFactor + t.batchBad;
        t.longTotal = t.longTotal * longFactor + t.batchBad + t.batchGood;
        t.recent.bad = t.recent.bad * shortFactor + t.batchBad;
        t.recent.total = t.recent.total * shortFactor + t.batchBad + t.batchGood;
        t.batchBad = 0;
        t.batchGood = 0;
    }
    std::vector<latency_estimate> estimates;
    for (const auto &t : m_targets) {
        if (takesWork(t)) {
            estimates.push_back(t.latency);
        }
    }
    m_slowLimit = slowLimit(estimates);
}

void service_judge::updateThreshold()
{
    double observations = 0.0;
    for (const auto &t : m_targets) {
        observations += t.longTotal;
    }
    const double meanLifetime = toSeconds(longHalfLife) / std::log(2.0);
    const double rate = m_targets.empty() ? 0.0 : observations / meanLifetime / static_cast<double>(m_targets.size());
    m_threshold = evidenceThreshold(m_policy.falseEjectionsPerTargetDay, rate * m_memberCount);
}

bool service_judge::isDeniedByPeers(const judged_target &t, instant now) const
{
    int contrary = 0;
    int agreeing = 0;
    for (const auto &[peer, evidence] : t.peers) {
        if (now - evidence.heardAt >= peerEvidenceLifetime) {
            continue;
        }
        const bool seesItWell = evidence.score < m_threshold * contraryShare;
        contrary += seesItWell && evidence.recent.total >= contraryObservations ? 1 : 0;
        agreeing += seesItWell ? 0 : 1;
    }
    return m_policy.usesPeers && contrary > 0 && agreeing == 0;
}

bool service_judge::suspectsItself(instant now) const
{
    std::size_t sick = 0;
    std::size_t seen = 0;
    for (const auto &t : m_targets) {
        if (!takesWork(t) && !(isOut(t) && now - t.since < shortHalfLife)) {
            continue;
        }
        ++seen;
        sick += isOut(t) || evidenceOf(t.test, m_threshold) >= m_threshold * selfSuspicionShare ? 1 : 0;
    }
    return m_policy.usesRelative && sick >= selfSuspicionLeast
        && static_cast<double>(sick) > selfSuspicionShare * static_cast<double>(seen);
}

void service_judge::eject(judged_target &t, instant now)
{
    const bool isRelapse = now - t.since < relapseMemory && t.relapses > 0;
    t.state = target_state::ejected;
    t.since = now;
    t.relapses = isRelapse ? std::min(t.relapses + 1, mostDoublings) : 0;
    t.holdUntil = now + baseHold * (1 << t.relapses);
    t.trialsPassed = 0;
    t.isReduced = false;
}

void service_judge::decide(instant now, std::vector<judge_event> &events)
{
    const evidence_view view = viewAt(now);
    std::vector<floor_row> rows;
    std::vector<bool> adopted;
    for (const auto &t : m_targets) {
        floor_row row;
        row.slots = t.slots;
        row.evidence = combinedEvidence(t, view);
        row.isEjected = isOut(t);
        row.isAbsent = !t.isListed || t.state == target_state::leaving || t.state == target_state::warming;
        const bool isConvicted = row.evidence >= m_threshold && isWorseThanOthers(rows.size(), row.evidence, view);
        row.isSick = takesWork(t) && !t.isReduced && isConvicted;
        adopted.push_back(evidenceOf(t.test, m_threshold) < leastEvidence);
        rows.push_back(row);
    }
    const bool isSelfSuspected = suspectsItself(now);
    if (isSelfSuspected && !m_isSelfSuspected) {
        events.push_back({judge_event::kind::selfSuspected, "", 0.0});
    }
    m_isSelfSuspected = isSelfSuspected;
    for (auto &row : rows) {
        row.isSick = row.isSick && !isSelfSuspected;
    }
    const std::vector<floor_decision> decisions = applyFloor(rows, m_policy.floorSlots);
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        judged_target &t = m_targets[i];
        switch (decisions[i]) {
        case floor_decision::eject:
            t.isPathBlamed = isDeniedByPeers(t, now);
            t.isAdopted = adopted[i];
            t.ownEvidence = evidenceOf(t.test, m_threshold);
            eject(t, now);
            events.push_back({t.isPathBlamed ? judge_event::kind::pathBlamed : judge_event::kind::ejected, t.address, rows[i].evidence});
            break;
        case floor_decision::deny:
            t.isReduced = true;
            t.since = now;
            events.push_back({judge_event::kind::denied, t.address, rows[i].evidence});
            break;
        case floor_decision::restore:
            t.state = target_state::inService;
            t.isReduced = true;
            t.since = now;
            events.push_back({judge_event::kind::restored, t.address, rows[i].evidence});
            break;
        case floor_decision::unchanged:
            break;
        }
    }
}

void service_judge::advanceStates(instant now, std::vector<judge_event> &events)
{
    for (auto &t : m_targets) {
        if (t.isReduced && takesWork(t) && evidenceOf(t.test, m_threshold) < leastEvidence && now - t.since > baseHold) {
            t.isReduced = false;
        }
        if (t.state == target_state::ejected && now >= t.holdUntil) {
            t.state = target_state::trial;
            t.trialsPassed = 0;
            t.since = now;
            reset(t.test);
            events.push_back({judge_event::kind::trialStarted, t.address, 0.0});
        } else if (t.state == target_state::trial && t.trialsPassed >= trialsNeeded(t)) {
            t.state = target_state::ramping;
            t.relapses = std::max(t.relapses, 1);
            t.since = now;
            t.isPathBlamed = false;
            events.push_back({judge_event::kind::readmitted, t.address, 0.0});
        } else if ((t.state == target_state::ramping && now - t.since > rampLength)
                   || (t.state == target_state::warming && now - t.since > warmingLength)) {
            t.state = target_state::inService;
        } else if (t.state == target_state::inService && now - t.since > relapseMemory) {
            t.relapses = 0;
        }
    }
}

std::vector<judge_event> service_judge::tick(instant now)
{
    std::vector<judge_event> events;
    scoreBatches(now);
    learnRates(now);
    updateThreshold();
    decide(now, events);
    advanceStates(now, events);
    m_lastTick = now;
    return events;
}

double service_judge::weightOf(std::size_t target, instant now) const
{
    const judged_target &t = m_targets[target];
    if (!takesWork(t)) {
        return 0.0;
    }
    if (t.isReduced) {
        return reducedWeight;
    }
    if (t.state == target_state::ramping) {
        return rampWeight(now - t.since, rampLength);
    }
    return t.state == target_state::warming ? rampWeight(now - t.since, warmingLength) : 1.0;
}

bool service_judge::takeTrial(std::size_t target, instant now)
{
    judged_target &t = m_targets[target];
    if (t.state != target_state::trial || !t.isListed || now - t.trialSentAt < trialInterval) {
        return false;
    }
    t.trialSentAt = now;
    return true;
}

bool service_judge::isInDoubt(instant now) const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [&](const judged_target &t) {
        const bool isDoubtedHere = evidenceOf(t.test, m_threshold) >= m_threshold * reportShare;
        const bool isDoubtedByPeer = std::any_of(t.peers.begin(), t.peers.end(), [&](const auto &p) {
            return now - p.second.heardAt < peerEvidenceLifetime && p.second.score >= m_threshold * reportShare;
        });
        const bool isNew = now - t.since < peerEvidenceLifetime;
        return t.isListed && (isOut(t) ? isNew : isDoubtedHere || isDoubtedByPeer);
    });
}

std::vector<evidence_report> service_judge::reports(instant now) const
{
    std::vector<evidence_report> reports;
    const bool isAnyOut = std::any_of(m_targets.begin(), m_targets.end(), [](const auto &t) { return isOut(t); });
    if (!isAnyOut && !isInDoubt(now)) {
        return reports;
    }
    for (const auto &t : m_targets) {
        // Only what this node saw itself is told on, so that nodes do not convict on each other's echo.
        const bool isOwnVerdict = isOut(t) && !t.isPathBlamed && !t.isAdopted;
        const double score = isOwnVerdict ? t.ownEvidence : isOut(t) ? 0.0 : evidenceOf(t.test, m_threshold);
        reports.push_back({t.address, score, t.recent, t.state == target_state::warming && t.lastWarmedAt == t.since});
    }
    return reports;
}

} // namespace flamingofield
