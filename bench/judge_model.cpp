#include "judge_model.hpp"

#include <algorithm>
#include <array>
#include <queue>

namespace bench {

using flamingofield::duration;
using flamingofield::evidence_report;
using flamingofield::instant;
using flamingofield::milliseconds;
using flamingofield::observation;
using flamingofield::observation_kind;
using flamingofield::outlier_detector;
using flamingofield::outlier_event;
using flamingofield::seconds;
using flamingofield::target_state;

namespace {

constexpr milliseconds tickInterval{50};
constexpr milliseconds reportInterval{100};
constexpr double medianLatencyMs = 10.0;
constexpr double latencySpread = 0.4;
constexpr std::size_t unhealthyTarget = 0;
constexpr std::size_t faultyMember = 1; // Paused, cut off or sending false reports.
constexpr double pauseSeconds = 10.0;
constexpr double refusalSeconds = 2.0;
constexpr double warmUpSeconds = 5.0;
constexpr int unhealthyTargetsBeyondFloor = 5;

duration toDuration(double s)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(s));
}

/// Result that a request will have.
struct request_result
{
    observation_kind kind = observation_kind::good;
    duration latency{};
};

struct pending_observation
{
    instant at;
    std::size_t member = 0;
    observation seen;

    bool operator>(const pending_observation &other) const
    {
        return at > other.at;
    }
};

struct pending_report
{
    instant at;
    std::size_t from = 0;
    std::vector<evidence_report> reports;
};

class outlier_model
{
public:
    explicit outlier_model(const outlier_model_plan &plan)
        : m_plan(plan)
        , m_random(plan.seed)
        , m_start(instant() + seconds(1000))
        , m_faultStart(m_start + toDuration(plan.secondsBeforeFault))
        , m_end(m_faultStart + toDuration(plan.faultSeconds))
    {
        std::vector<flamingofield::target_spec> specs;
        for (int i = 0; i < plan.targets; ++i) {
            flamingofield::target_spec spec;
            spec.address = {"127.0.0." + std::to_string(i + 1), 7000};
            spec.slots = plan.slots;
            specs.push_back(spec);
        }
        for (int m = 0; m < plan.members; ++m) {
            m_detectors.emplace_back(plan.policy);
            m_detectors.back().setTargets(specs, m_start);
            m_detectors.back().setMemberCount(plan.members);
        }
    }

    outlier_model_result run()
    {
        int tick = 0;
        for (instant now = m_start; now < m_end; now += tickInterval, ++tick) {
            sendRequests(now);
            deliverObservations(now + tickInterval);
            deliverReports(now + tickInterval);
            runDetectors(now + tickInterval);
            if (tick % (reportInterval / tickInterval) == 0) {
                sendReports(now + tickInterval);
            }
            updateResult(now + tickInterval);
        }
        m_result.targetHours = m_plan.targets * flamingofield::toSeconds(m_end - m_start) / 3600.0;
        m_result.unhealthyShare = m_sent > 0 ? static_cast<double>(m_sentToUnhealthy) / static_cast<double>(m_sent) : 0.0;
        return m_result;
    }

private:
    double uniform()
    {
        return std::uniform_real_distribution<>(0.0, 1.0)(m_random);
    }

    double secondsSinceFault(instant now) const
    {
        return flamingofield::toSeconds(now - m_faultStart);
    }

    bool isPaused(std::size_t member, instant now) const
    {
        const bool hasPause
            = m_plan.fault == modelled_fault::memberPaused || m_plan.fault == modelled_fault::memberPausedAndFailThirtyPercent;
        const double faultAge = secondsSinceFault(now);
        return hasPause && member == faultyMember && faultAge >= 0.0 && faultAge < pauseSeconds;
    }

    /// Duration of one phase of a flapping target; 0 for other faults.
    double flapPhaseSeconds() const
    {
        switch (m_plan.fault) {
        case modelled_fault::flapOneSecond:
            return 1.0;
        case modelled_fault::flapFourSeconds:
            return 4.0;
        case modelled_fault::flapFifteenSeconds:
            return 15.0;
        default:
            return 0.0;
        }
    }

    /// True if the target is unhealthy at this time from the member's view.
    bool isUnhealthy(std::size_t member, std::size_t target, instant now) const
    {
        const double faultAge = secondsSinceFault(now);
        if (faultAge < 0.0) {
            return false;
        }
        switch (m_plan.fault) {
        case modelled_fault::targetTimesOut:
        case modelled_fault::failThirtyPercent:
        case modelled_fault::failFifteenPercent:
        case modelled_fault::halfOfAnswersSlow:
        case modelled_fault::allSlowAndTargetTimesOut:
        case modelled_fault::memberPausedAndFailThirtyPercent:
        case modelled_fault::flapOneSecond:
        case modelled_fault::flapFourSeconds:
        case modelled_fault::flapFifteenSeconds:
            return target == unhealthyTarget;
        case modelled_fault::pathCut:
            return target == unhealthyTarget && member == faultyMember;
        case modelled_fault::dataCentreCut:
            return target == unhealthyTarget && member % 3 == 0;
        case modelled_fault::targetRestarts:
            return target == unhealthyTarget && faultAge < refusalSeconds;
        case modelled_fault::allTargetsRestart:
            return faultAge < refusalSeconds;
        case modelled_fault::moreThanFloorAllows:
            return target < unhealthyTargetsBeyondFloor;
        default:
            return false;
        }
    }

    duration healthyLatency(double factor)
    {
        const double ms = medianLatencyMs * std::exp(latencySpread * std::normal_distribution<>(0.0, 1.0)(m_random));
        return toDuration(ms * factor / 1000.0);
    }

    request_result healthyResult(double factor, double badRate)
    {
        const duration latency = healthyLatency(factor);
        return {uniform() < badRate ? observation_kind::failed : observation_kind::good, latency};
    }

    request_result timeoutResult() const
    {
        return {observation_kind::timedOut, m_plan.deadline};
    }

    request_result drawResult(std::size_t member, std::size_t target, instant now)
    {
        const double faultAge = secondsSinceFault(now);
        const double usualBadRate = m_plan.healthyBadRate;
        const bool isUnhealthyHere = isUnhealthy(member, target, now);
        if (faultAge < 0.0) {
            return healthyResult(1.0, usualBadRate);
        }
        switch (m_plan.fault) {
        case modelled_fault::targetTimesOut:
        case modelled_fault::pathCut:
        case modelled_fault::dataCentreCut:
        case modelled_fault::moreThanFloorAllows:
            return isUnhealthyHere ? timeoutResult() : healthyResult(1.0, usualBadRate);
        case modelled_fault::allSlowAndTargetTimesOut:
            return isUnhealthyHere ? timeoutResult() : healthyResult(5.0, usualBadRate);
        case modelled_fault::failThirtyPercent:
        case modelled_fault::memberPausedAndFailThirtyPercent:
            return healthyResult(1.0, isUnhealthyHere ? 0.3 : usualBadRate);
        case modelled_fault::failFifteenPercent:
            return healthyResult(1.0, isUnhealthyHere ? 0.15 : usualBadRate);
        case modelled_fault::halfOfAnswersSlow:
            return healthyResult(isUnhealthyHere && uniform() < 0.5 ? 10.0 : 1.0, usualBadRate);
        case modelled_fault::flapOneSecond:
        case modelled_fault::flapFourSeconds:
        case modelled_fault::flapFifteenSeconds: {
            const bool isDown = target == unhealthyTarget && static_cast<int>(faultAge / flapPhaseSeconds()) % 2 == 0;
            return isDown ? timeoutResult() : healthyResult(1.0, usualBadRate);
        }
        case modelled_fault::targetRestarts:
        case modelled_fault::allTargetsRestart: {
            const bool isRestarting = m_plan.fault == modelled_fault::allTargetsRestart || target == unhealthyTarget;
            if (isUnhealthyHere) {
                return {observation_kind::connectFailed, milliseconds(1)};
            }
            const bool isWarmUp = isRestarting && faultAge < refusalSeconds + warmUpSeconds;
            return healthyResult(isWarmUp ? 8.0 : 1.0, usualBadRate);
        }
        case modelled_fault::dependencyFails:
            return healthyResult(1.0, 0.4);
        case modelled_fault::allTargetsSlow:
            return healthyResult(5.0, usualBadRate);
        default:
            return healthyResult(1.0, usualBadRate);
        }
    }

    std::size_t chooseTarget(std::size_t member, instant now)
    {
        std::vector<double> weights;
        for (std::size_t i = 0; i < m_detectors[member].targets().size(); ++i) {
            weights.push_back(m_detectors[member].weightOf(i, now));
        }
        for (std::size_t i = 0; i < weights.size(); ++i) {
            if (m_detectors[member].tryStartTrial(i, now)) {
                return i;
            }
        }
        return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random);
    }

    void sendRequests(instant now)
    {
        const double mean = m_plan.requestsPerSecond / m_plan.members * flamingofield::toSeconds(tickInterval);
        for (std::size_t member = 0; member < m_detectors.size(); ++member) {
            if (isPaused(member, now)) {
                continue;
            }
            const int count = std::poisson_distribution<>(mean)(m_random);
            for (int i = 0; i < count; ++i) {
                sendRequest(member, now + toDuration(uniform() * flamingofield::toSeconds(tickInterval)));
            }
        }
    }

    void sendRequest(std::size_t member, instant now)
    {
        const std::size_t target = chooseTarget(member, now);
        const request_result result = drawResult(member, target, now);
        if (secondsSinceFault(now) >= 0.0) {
            ++m_sent;
            m_sentToUnhealthy += isUnhealthy(member, target, now) ? 1 : 0;
        }
        observation seen;
        seen.target = target;
        seen.kind = result.kind;
        seen.latency = result.latency;
        seen.source = m_random() % 40;
        const duration slowRequestLimit = m_detectors[member].slowRequestLimit();
        if (result.latency > slowRequestLimit) {
            seen.kind = observation_kind::slowInFlight;
            seen.latency = slowRequestLimit;
        }
        const instant at = now + seen.latency;
        seen.at = at;
        m_pending.push({at, member, seen});
    }

    void deliverObservations(instant until)
    {
        std::vector<pending_observation> kept;
        while (!m_pending.empty() && m_pending.top().at <= until) {
            pending_observation next = m_pending.top();
            m_pending.pop();
            if (isPaused(next.member, until)) {
                kept.push_back(next);
                continue;
            }
            next.seen.at = std::max(next.at, until - tickInterval);
            m_detectors[next.member].observe(next.seen);
        }
        for (const auto &p : kept) {
            m_pending.push(p);
        }
    }

    void runDetectors(instant now)
    {
        for (std::size_t member = 0; member < m_detectors.size(); ++member) {
            if (isPaused(member, now)) {
                continue;
            }
            for (const auto &event : m_detectors[member].tick(now)) {
                const bool isEjection = event.type == outlier_event::kind::ejected || event.type == outlier_event::kind::pathSuspected;
                if (isEjection && !isUnhealthy(member, indexOf(event.target), now)) {
                    ++m_result.falseEjections;
                }
            }
        }
    }

    std::size_t indexOf(const std::string &address) const
    {
        const auto &targets = m_detectors.front().targets();
        const auto found = std::find_if(targets.begin(), targets.end(), [&](const auto &t) { return t.address == address; });
        return static_cast<std::size_t>(found - targets.begin());
    }

    void deliverReports(instant now)
    {
        for (auto &report : m_reports) {
            for (std::size_t member = 0; member < m_detectors.size(); ++member) {
                if (member == report.from || isPaused(member, now)) {
                    continue;
                }
                for (const auto &r : report.reports) {
                    m_detectors[member].applyPeerReport(1000 + report.from, r, report.at + m_plan.peerDelay);
                }
            }
        }
        m_reports.clear();
    }

    void sendReports(instant now)
    {
        for (std::size_t member = 0; member < m_detectors.size(); ++member) {
            if (isPaused(member, now)) {
                continue;
            }
            std::vector<evidence_report> reports = m_detectors[member].evidenceReports(now);
            if (m_plan.fault == modelled_fault::falseReports && member == faultyMember) {
                for (const auto &t : m_detectors[member].targets()) {
                    reports.push_back({t.address, 1000.0, {100.0, 100.0}, false});
                }
            }
            m_reports.push_back({now, member, std::move(reports)});
        }
    }

    void updateResult(instant now)
    {
        int ejecting = 0;
        int running = 0;
        std::vector<bool> inServiceAnywhere(static_cast<std::size_t>(m_plan.targets), false);
        for (std::size_t member = 0; member < m_detectors.size(); ++member) {
            int slots = 0;
            const auto &targets = m_detectors[member].targets();
            for (std::size_t i = 0; i < targets.size(); ++i) {
                const bool isIn = targets[i].state != target_state::ejected && targets[i].state != target_state::trial;
                slots += isIn ? targets[i].slots : 0;
                inServiceAnywhere[i] = inServiceAnywhere[i] || isIn;
            }
            m_result.floorViolations += slots < m_plan.floorSlots ? 1 : 0;
            if (isPaused(member, now)) {
                continue;
            }
            ++running;
            ejecting += m_detectors[member].weightOf(unhealthyTarget, now) == 0.0 ? 1 : 0;
        }
        const auto anywhere = std::count(inServiceAnywhere.begin(), inServiceAnywhere.end(), true);
        m_result.fleetFloorViolations += anywhere * m_plan.slots < m_plan.floorSlots ? 1 : 0;
        const double faultAge = secondsSinceFault(now);
        if (faultAge >= 0.0 && ejecting > 0 && m_result.firstEjectionSeconds < 0.0) {
            m_result.firstEjectionSeconds = faultAge;
        }
        if (faultAge >= 0.0 && ejecting == running && m_result.detectionSeconds < 0.0) {
            m_result.detectionSeconds = faultAge;
        }
    }

    const outlier_model_plan &m_plan;
    std::mt19937_64 m_random;
    instant m_start;
    instant m_faultStart;
    instant m_end;
    std::vector<outlier_detector> m_detectors;
    std::priority_queue<pending_observation, std::vector<pending_observation>, std::greater<>> m_pending;
    std::vector<pending_report> m_reports;
    outlier_model_result m_result;
    long m_sent = 0;
    long m_sentToUnhealthy = 0;
};

} // namespace

const std::vector<modelled_fault> &allModelledFaults()
{
    static const std::vector<modelled_fault> all = [] {
        std::vector<modelled_fault> faults;
        for (int i = 0; i <= static_cast<int>(modelled_fault::memberPausedAndFailThirtyPercent); ++i) {
            faults.push_back(static_cast<modelled_fault>(i));
        }
        return faults;
    }();
    return all;
}

const char *toString(modelled_fault fault)
{
    constexpr std::array<const char *, 19> names{"no fault",
                                                 "all work times out",
                                                 "30% fail",
                                                 "15% fail",
                                                 "half slow",
                                                 "flapping, 1 s",
                                                 "flapping, 4 s",
                                                 "flapping, 15 s",
                                                 "path of one member cut",
                                                 "path of a data centre cut",
                                                 "one target restarts",
                                                 "all targets restart",
                                                 "dependency fails",
                                                 "all slow",
                                                 "member paused 10 s",
                                                 "timeouts beyond the floor",
                                                 "false reports of one member",
                                                 "all slow and one times out",
                                                 "paused member and 30% fail"};
    return names[static_cast<std::size_t>(fault)];
}

outlier_model_result runOutlierModel(const outlier_model_plan &plan)
{
    return outlier_model(plan).run();
}

} // namespace bench
