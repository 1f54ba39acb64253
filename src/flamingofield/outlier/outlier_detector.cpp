#include "outlier/outlier_detector.hpp"

#include "outlier/floor.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace flamingofield {

namespace {

constexpr milliseconds duplicateWindow{15}; // Bad observations of one source within this time count once.
constexpr seconds longTermHalfLife{60};
constexpr seconds recentHalfLife{2};
constexpr seconds minRewarmingInterval{60}; // Between warm-ups of a target that peers report.
constexpr double healthyEvidenceShare = 0.1; // Of the threshold; a peer with less evidence sees the target as healthy.
constexpr double minContradictingObservations = 3.0;
// This node is suspected if more than this share of the targets has at least this share of the evidence threshold or is newly ejected
// or on trial.
constexpr double selfSuspicionShare = 0.5;
constexpr std::size_t minSelfSuspicionTargets = 3;
constexpr seconds baseEjectionTime{5};
constexpr int maxBackoffLevel = 6;
constexpr milliseconds trialInterval{300};
constexpr int baseTrialCount = 8;
constexpr int maxTrialDoublings = 3;
constexpr seconds rampDuration{5};
constexpr seconds warmingDuration{5};
constexpr double minRampWeight = 0.1;
constexpr double reducedWeight = 0.3;
constexpr seconds backoffResetTime{600};
constexpr milliseconds pauseThreshold{500}; // A longer gap between ticks means that the process was paused.
constexpr double suspicionThresholdShare = 0.1; // Of the threshold; a target with this evidence is suspected and reported to the members.
constexpr seconds leavingReportLifetime{10};

double rampWeight(duration age, duration length)
{
    const double share = toSeconds(age) / toSeconds(length);
    return std::clamp(share, minRampWeight, 1.0);
}

double decayFactor(duration elapsed, duration halfLife)
{
    return std::exp2(-toSeconds(elapsed) / toSeconds(halfLife));
}

/// Number of trials that must succeed without a failure between them; more after repeated ejections.
int trialsNeeded(const target_health &t)
{
    return baseTrialCount << std::min(t.backoffLevel, maxTrialDoublings);
}

} // namespace

const char *toString(outlier_event::kind kind)
{
    constexpr std::array<const char *, 9> names{"ejected",    "denied_by_floor", "path_blamed", "restored_for_floor", "trial_started",
                                                "readmitted", "relapsed",        "leaving",     "self_suspected"};
    return names[static_cast<std::size_t>(kind)];
}

outlier_detector::outlier_detector(outlier_policy policy)
    : m_policy(policy)
{
}

void outlier_detector::setTargets(const std::vector<target_spec> &targets, instant now)
{
    const bool isFirst = m_targets.empty();
    for (auto &row : m_targets) {
        row.isListed = false;
    }
    for (const auto &spec : targets) {
        const std::string address = toString(spec.address);
        auto row = std::find_if(m_targets.begin(), m_targets.end(), [&](const auto &t) { return t.address == address; });
        if (row == m_targets.end()) {
            target_health added;
            added.address = address;
            added.failureDetector = makeDetector(m_policy.kind, m_policy.baselineLimit);
            // At start nothing is known about any target, so all begin at full weight.
            added.state = isFirst ? target_state::inService : target_state::warming;
            added.stateSince = now;
            row = m_targets.insert(m_targets.end(), std::move(added));
        }
        row->slots = spec.slots;
        row->isListed = true;
        if (row->failureDetector.index() != makeDetector(m_policy.kind).index()) {
            row->failureDetector = makeDetector(m_policy.kind, m_policy.baselineLimit);
        }
    }
}

bool outlier_detector::isBad(const observation &o) const
{
    if (o.kind != observation_kind::good) {
        return true;
    }
    return m_policy.comparesTargets && o.latency > m_slowRequestLimit;
}

bool outlier_detector::shouldCountBad(target_health &t, const observation &o) const
{
    const bool isDuplicate = o.source == t.lastBadSource && o.at - t.lastBadAt < duplicateWindow;
    if (!isDuplicate) {
        t.lastBadSource = o.source;
        t.lastBadAt = o.at;
    }
    return !isDuplicate || !m_policy.comparesTargets;
}

void outlier_detector::observe(const observation &o)
{
    target_health &t = m_targets[o.target];
    if (o.isLeaving) {
        setLeaving(o.target, true, o.at);
        return;
    }
    if (o.kind == observation_kind::shed || t.state == target_state::leaving) {
        return;
    }
    if (o.kind == observation_kind::good) {
        addLatency(t.latency, o.latency);
    }
    if (t.state == target_state::trial) {
        observeTrial(t, o);
        return;
    }
    if (t.state == target_state::ejected) {
        return;
    }
    detectRestart(t, o);
    // A target may be slow during warm-up; only failed connections, failures and timeouts count against it.
    const bool isSlownessIgnored
        = t.state == target_state::warming && (o.kind == observation_kind::good || o.kind == observation_kind::slowInFlight);
    if (!isBad(o) || isSlownessIgnored) {
        ++t.batchGood;
    } else if (shouldCountBad(t, o)) {
        ++t.batchBad;
    }
}

void outlier_detector::detectRestart(target_health &t, const observation &o)
{
    if (o.kind == observation_kind::connectTimedOut) {
        // Unlike a refusal, no sign of a restart: a stalled node times out at all targets, and their warm-up would hide hanging requests.
        return;
    }
    t.consecutiveRefusals = o.kind == observation_kind::connectFailed ? t.consecutiveRefusals + 1 : t.consecutiveRefusals;
    if (o.kind == observation_kind::connectFailed || t.consecutiveRefusals == 0) {
        return;
    }
    // The target refused connections and now answers: probably a restarted process that may be slow at first.
    t.consecutiveRefusals = 0;
    if (t.state == target_state::inService && m_policy.comparesTargets) {
        beginWarming(t, o.at);
    }
}

void outlier_detector::beginWarming(target_health &t, instant now)
{
    t.state = target_state::warming;
    t.stateSince = now;
    t.lastWarmedAt = now;
    reset(t.failureDetector);
}

void outlier_detector::observeTrial(target_health &t, const observation &o)
{
    if (isBad(o)) {
        t.state = target_state::ejected;
        t.backoffLevel = std::min(t.backoffLevel + 1, maxBackoffLevel);
        t.ejectedUntil = o.at + baseEjectionTime * (1 << t.backoffLevel);
        t.stateSince = o.at;
        return;
    }
    ++t.trialsPassed;
}

void outlier_detector::applyPeerReport(std::uint64_t peer, const evidence_report &report, instant now)
{
    const auto row = std::find_if(m_targets.begin(), m_targets.end(), [&](const auto &t) { return t.address == report.target; });
    if (row != m_targets.end() && std::isfinite(report.score)) {
        row->peers[peer] = {std::max(report.score, 0.0), report.recent, now};
        if (report.isWarming && row->state == target_state::inService && now - row->lastWarmedAt > minRewarmingInterval) {
            beginWarming(*row, now);
        }
    }
}

void outlier_detector::setLeaving(std::size_t target, bool isLeaving, instant now)
{
    target_health &t = m_targets[target];
    const bool isReportActive = !isLeaving && now < t.reportedLeavingUntil;
    if (isLeaving == (t.state == target_state::leaving) || isReportActive) {
        return;
    }
    t.state = isLeaving ? target_state::leaving : target_state::warming;
    t.stateSince = now;
    reset(t.failureDetector);
}

void outlier_detector::setReportedLeaving(std::size_t target, instant now)
{
    m_targets[target].reportedLeavingUntil = now + leavingReportLifetime;
    setLeaving(target, true, now);
}

evidence_view outlier_detector::viewAt(instant now) const
{
    return {m_targets, now, m_threshold, m_policy.usesPeerEvidence, m_policy.comparesTargets};
}

void outlier_detector::scoreBatches(instant now)
{
    const bool wasPaused = m_lastTick != instant() && now - m_lastTick > pauseThreshold;
    for (auto &t : m_targets) {
        // While this process was paused, answers appeared late without any fault of the target.
        t.batchBad = wasPaused ? 0 : t.batchBad;
    }
    const evidence_view view = viewAt(now);
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        target_health &t = m_targets[i];
        if (t.batchGood + t.batchBad == 0) {
            continue;
        }
        const evidence_batch batch{t.batchGood, t.batchBad, healthyBadRate(i, view)};
        flamingofield::observe(t.failureDetector, batch);
    }
}

void outlier_detector::updateRates(instant now)
{
    const duration elapsed = m_lastTick == instant() ? duration(0) : now - m_lastTick;
    const double longTermFactor = decayFactor(elapsed, longTermHalfLife);
    const double recentFactor = decayFactor(elapsed, recentHalfLife);
    for (auto &t : m_targets) {
        t.longTermBad = t.longTermBad * longTermFactor + t.batchBad;
        t.longTermTotal = t.longTermTotal * longTermFactor + t.batchBad + t.batchGood;
        t.recent.bad = t.recent.bad * recentFactor + t.batchBad;
        t.recent.total = t.recent.total * recentFactor + t.batchBad + t.batchGood;
        t.batchBad = 0;
        t.batchGood = 0;
    }
    std::vector<latency_estimate> estimates;
    for (const auto &t : m_targets) {
        if (canReceiveRequests(t)) {
            estimates.push_back(t.latency);
        }
    }
    m_slowRequestLimit = slowLimit(estimates);
}

void outlier_detector::updateThreshold()
{
    double observations = 0.0;
    for (const auto &t : m_targets) {
        observations += t.longTermTotal;
    }
    const double meanLifetime = toSeconds(longTermHalfLife) / std::log(2.0);
    const double rate = m_targets.empty() ? 0.0 : observations / meanLifetime / static_cast<double>(m_targets.size());
    m_threshold = evidenceThreshold(m_policy.falseEjectionsPerTargetDay, rate * m_memberCount);
}

bool outlier_detector::isContradictedByPeers(const target_health &t, instant now) const
{
    int contradicting = 0;
    int confirming = 0;
    for (const auto &[peer, evidence] : t.peers) {
        if (now - evidence.receivedAt >= peerEvidenceLifetime) {
            continue;
        }
        const bool seesHealthyTarget = evidence.score < m_threshold * healthyEvidenceShare;
        contradicting += seesHealthyTarget && evidence.recent.total >= minContradictingObservations ? 1 : 0;
        confirming += seesHealthyTarget ? 0 : 1;
    }
    return m_policy.usesPeerEvidence && contradicting > 0 && confirming == 0;
}

bool outlier_detector::shouldSuspectSelf(instant now) const
{
    std::size_t unhealthy = 0;
    std::size_t considered = 0;
    for (const auto &t : m_targets) {
        if (!canReceiveRequests(t) && !(isEjectedOrOnTrial(t) && now - t.stateSince < recentHalfLife)) {
            continue;
        }
        ++considered;
        unhealthy += isEjectedOrOnTrial(t) || evidenceOf(t.failureDetector, m_threshold) >= m_threshold * selfSuspicionShare ? 1 : 0;
    }
    return m_policy.comparesTargets && unhealthy >= minSelfSuspicionTargets
        && static_cast<double>(unhealthy) > selfSuspicionShare * static_cast<double>(considered);
}

void outlier_detector::eject(target_health &t, instant now)
{
    const bool isRepeated = now - t.stateSince < backoffResetTime && t.backoffLevel > 0;
    t.state = target_state::ejected;
    t.stateSince = now;
    t.backoffLevel = isRepeated ? std::min(t.backoffLevel + 1, maxBackoffLevel) : 0;
    t.ejectedUntil = now + baseEjectionTime * (1 << t.backoffLevel);
    t.trialsPassed = 0;
    t.hasReducedWeight = false;
}

void outlier_detector::decideEjections(instant now, std::vector<outlier_event> &events)
{
    const evidence_view view = viewAt(now);
    std::vector<floor_target> rows;
    std::vector<bool> lacksOwnEvidence;
    for (const auto &t : m_targets) {
        floor_target row;
        row.slots = t.slots;
        row.evidence = combinedEvidence(t, view);
        row.isEjected = isEjectedOrOnTrial(t);
        row.isUnavailable = !t.isListed || t.state == target_state::leaving || t.state == target_state::warming;
        const bool isUnhealthy = row.evidence >= m_threshold && isWorseThanOthers(rows.size(), row.evidence, view);
        row.isEjectionDue = canReceiveRequests(t) && !t.hasReducedWeight && isUnhealthy;
        lacksOwnEvidence.push_back(evidenceOf(t.failureDetector, m_threshold) < minEvidence);
        rows.push_back(row);
    }
    const bool isSelfSuspected = shouldSuspectSelf(now);
    if (isSelfSuspected && !m_isSelfSuspected) {
        events.push_back({outlier_event::kind::selfSuspected, "", 0.0});
    }
    m_isSelfSuspected = isSelfSuspected;
    for (auto &row : rows) {
        row.isEjectionDue = row.isEjectionDue && !isSelfSuspected;
    }
    const std::vector<floor_decision> decisions = applyFloor(rows, m_policy.floorSlots);
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        target_health &t = m_targets[i];
        switch (decisions[i]) {
        case floor_decision::eject:
            t.isPathSuspected = isContradictedByPeers(t, now);
            t.isEjectedOnPeerEvidence = lacksOwnEvidence[i];
            t.ownEvidence = evidenceOf(t.failureDetector, m_threshold);
            eject(t, now);
            events.push_back(
                {t.isPathSuspected ? outlier_event::kind::pathSuspected : outlier_event::kind::ejected, t.address, rows[i].evidence});
            break;
        case floor_decision::deny:
            t.hasReducedWeight = true;
            t.stateSince = now;
            events.push_back({outlier_event::kind::deniedByFloor, t.address, rows[i].evidence});
            break;
        case floor_decision::restore:
            t.state = target_state::inService;
            t.hasReducedWeight = true;
            t.stateSince = now;
            events.push_back({outlier_event::kind::restored, t.address, rows[i].evidence});
            break;
        case floor_decision::unchanged:
            break;
        }
    }
}

void outlier_detector::advanceStates(instant now, std::vector<outlier_event> &events)
{
    for (auto &t : m_targets) {
        if (t.hasReducedWeight && canReceiveRequests(t) && evidenceOf(t.failureDetector, m_threshold) < minEvidence
            && now - t.stateSince > baseEjectionTime) {
            t.hasReducedWeight = false;
        }
        if (t.state == target_state::ejected && now >= t.ejectedUntil) {
            t.state = target_state::trial;
            t.trialsPassed = 0;
            t.stateSince = now;
            reset(t.failureDetector);
            events.push_back({outlier_event::kind::trialStarted, t.address, 0.0});
        } else if (t.state == target_state::trial && t.trialsPassed >= trialsNeeded(t)) {
            t.state = target_state::ramping;
            t.backoffLevel = std::max(t.backoffLevel, 1);
            t.stateSince = now;
            t.isPathSuspected = false;
            events.push_back({outlier_event::kind::readmitted, t.address, 0.0});
        } else if ((t.state == target_state::ramping && now - t.stateSince > rampDuration)
                   || (t.state == target_state::warming && now - t.stateSince > warmingDuration)) {
            t.state = target_state::inService;
        } else if (t.state == target_state::inService && now - t.stateSince > backoffResetTime) {
            t.backoffLevel = 0;
        }
    }
}

std::vector<outlier_event> outlier_detector::tick(instant now)
{
    std::vector<outlier_event> events;
    scoreBatches(now);
    updateRates(now);
    updateThreshold();
    decideEjections(now, events);
    advanceStates(now, events);
    m_lastTick = now;
    return events;
}

double outlier_detector::weightOf(std::size_t target, instant now) const
{
    const target_health &t = m_targets[target];
    if (!canReceiveRequests(t)) {
        return 0.0;
    }
    if (t.hasReducedWeight) {
        return reducedWeight;
    }
    if (t.state == target_state::ramping) {
        return rampWeight(now - t.stateSince, rampDuration);
    }
    return t.state == target_state::warming ? rampWeight(now - t.stateSince, warmingDuration) : 1.0;
}

bool outlier_detector::tryStartTrial(std::size_t target, instant now)
{
    target_health &t = m_targets[target];
    if (t.state != target_state::trial || !t.isListed || now - t.trialSentAt < trialInterval) {
        return false;
    }
    t.trialSentAt = now;
    return true;
}

bool outlier_detector::hasSuspectedTargets(instant now) const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [&](const target_health &t) {
        const bool isSuspectedHere = evidenceOf(t.failureDetector, m_threshold) >= m_threshold * suspicionThresholdShare;
        const bool isSuspectedByPeer = std::any_of(t.peers.begin(), t.peers.end(), [&](const auto &p) {
            return now - p.second.receivedAt < peerEvidenceLifetime && p.second.score >= m_threshold * suspicionThresholdShare;
        });
        const bool isNew = now - t.stateSince < peerEvidenceLifetime;
        return t.isListed && (isEjectedOrOnTrial(t) ? isNew : isSuspectedHere || isSuspectedByPeer);
    });
}

std::vector<evidence_report> outlier_detector::evidenceReports(instant now) const
{
    std::vector<evidence_report> reports;
    const bool isAnyEjected = std::any_of(m_targets.begin(), m_targets.end(), [](const auto &t) { return isEjectedOrOnTrial(t); });
    if (!isAnyEjected && !hasSuspectedTargets(now)) {
        return reports;
    }
    for (const auto &t : m_targets) {
        // Reports contain only this node's own observations; otherwise nodes would confirm each other's reports in a loop.
        const bool isOwnEjection = isEjectedOrOnTrial(t) && !t.isPathSuspected && !t.isEjectedOnPeerEvidence;
        const double score = isOwnEjection ? t.ownEvidence : isEjectedOrOnTrial(t) ? 0.0 : evidenceOf(t.failureDetector, m_threshold);
        reports.push_back({t.address, score, t.recent, t.state == target_state::warming && t.lastWarmedAt == t.stateSince});
    }
    return reports;
}

} // namespace flamingofield
