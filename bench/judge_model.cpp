#include "judge_model.hpp"

#include <algorithm>
#include <array>
#include <queue>

namespace bench {

using flamingofield::duration;
using flamingofield::evidence_report;
using flamingofield::instant;
using flamingofield::judge_event;
using flamingofield::milliseconds;
using flamingofield::observation;
using flamingofield::observed;
using flamingofield::seconds;
using flamingofield::service_judge;
using flamingofield::target_state;

namespace {

constexpr milliseconds tickLength{50};
constexpr milliseconds reportLength{100};
constexpr double medianLatencyMs = 10.0;
constexpr double latencySpread = 0.4;
constexpr std::size_t sickTarget = 0;
constexpr std::size_t oddMember = 1; ///< Paused, lying or cut off.
constexpr double pauseSeconds = 10.0;
constexpr double refuseSeconds = 2.0;
constexpr double slowStartSeconds = 5.0;
constexpr int sickBeyondFloor = 5;

duration toDuration(double s)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(s));
}

/// How a request will go.
struct fate
{
    observed kind = observed::good;
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

class judge_model
{
public:
    explicit judge_model(const judge_model_plan &plan)
        : m_plan(plan)
        , m_random(plan.seed)
        , m_start(instant() + seconds(1000))
        , m_faultStart(m_start + toDuration(plan.calmSeconds))
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
            m_judges.emplace_back(plan.policy);
            m_judges.back().setTargets(specs, m_start);
            m_judges.back().setMemberCount(plan.members);
        }
    }

    judge_model_result run()
    {
        int tick = 0;
        for (instant now = m_start; now < m_end; now += tickLength, ++tick) {
            sendRequests(now);
            deliver(now + tickLength);
            deliverReports(now + tickLength);
            runJudges(now + tickLength);
            if (tick % (reportLength / tickLength) == 0) {
                sendReports(now + tickLength);
            }
            check(now + tickLength);
        }
        m_result.targetHours = m_plan.targets * flamingofield::toSeconds(m_end - m_start) / 3600.0;
        m_result.sickShare = m_sent > 0 ? static_cast<double>(m_sentToSick) / static_cast<double>(m_sent) : 0.0;
        return m_result;
    }

private:
    double uniform()
    {
        return std::uniform_real_distribution<>(0.0, 1.0)(m_random);
    }

    double sinceFault(instant now) const
    {
        return flamingofield::toSeconds(now - m_faultStart);
    }

    bool isPaused(std::size_t member, instant now) const
    {
        const bool pauses = m_plan.fault == judge_fault::memberPaused || m_plan.fault == judge_fault::pausedAndFailThirty;
        const double since = sinceFault(now);
        return pauses && member == oddMember && since >= 0.0 && since < pauseSeconds;
    }

    /// Length of a phase of a flapping target; 0 if the fault is no flapping.
    double flapSeconds() const
    {
        switch (m_plan.fault) {
        case judge_fault::flapOneSecond:
            return 1.0;
        case judge_fault::flapFourSeconds:
            return 4.0;
        case judge_fault::flapFifteenSeconds:
            return 15.0;
        default:
            return 0.0;
        }
    }

    /// True if the target is not healthy at this time as the member sees it.
    bool isSick(std::size_t member, std::size_t target, instant now) const
    {
        const double since = sinceFault(now);
        if (since < 0.0) {
            return false;
        }
        switch (m_plan.fault) {
        case judge_fault::allTimeOut:
        case judge_fault::failThirty:
        case judge_fault::failFifteen:
        case judge_fault::halfSlow:
        case judge_fault::slowAndTimeOut:
        case judge_fault::pausedAndFailThirty:
        case judge_fault::flapOneSecond:
        case judge_fault::flapFourSeconds:
        case judge_fault::flapFifteenSeconds:
            return target == sickTarget;
        case judge_fault::pathCut:
            return target == sickTarget && member == oddMember;
        case judge_fault::dataCentreCut:
            return target == sickTarget && member % 3 == 0;
        case judge_fault::restartOne:
            return target == sickTarget && since < refuseSeconds;
        case judge_fault::restartAll:
            return since < refuseSeconds;
        case judge_fault::beyondFloor:
            return target < sickBeyondFloor;
        default:
            return false;
        }
    }

    duration healthyLatency(double factor)
    {
        const double ms = medianLatencyMs * std::exp(latencySpread * std::normal_distribution<>(0.0, 1.0)(m_random));
        return toDuration(ms * factor / 1000.0);
    }

    fate healthyFate(double factor, double badRate)
    {
        const duration latency = healthyLatency(factor);
        return {uniform() < badRate ? observed::failed : observed::good, latency};
    }

    fate timeOut() const
    {
        return {observed::timedOut, m_plan.deadline};
    }

    fate decideFate(std::size_t member, std::size_t target, instant now)
    {
        const double since = sinceFault(now);
        const double usual = m_plan.healthyBadRate;
        const bool isSickHere = isSick(member, target, now);
        if (since < 0.0) {
            return healthyFate(1.0, usual);
        }
        switch (m_plan.fault) {
        case judge_fault::allTimeOut:
        case judge_fault::pathCut:
        case judge_fault::dataCentreCut:
        case judge_fault::beyondFloor:
            return isSickHere ? timeOut() : healthyFate(1.0, usual);
        case judge_fault::slowAndTimeOut:
            return isSickHere ? timeOut() : healthyFate(5.0, usual);
        case judge_fault::failThirty:
        case judge_fault::pausedAndFailThirty:
            return healthyFate(1.0, isSickHere ? 0.3 : usual);
        case judge_fault::failFifteen:
            return healthyFate(1.0, isSickHere ? 0.15 : usual);
        case judge_fault::halfSlow:
            return healthyFate(isSickHere && uniform() < 0.5 ? 10.0 : 1.0, usual);
        case judge_fault::flapOneSecond:
        case judge_fault::flapFourSeconds:
        case judge_fault::flapFifteenSeconds: {
            const bool isDown = target == sickTarget && static_cast<int>(since / flapSeconds()) % 2 == 0;
            return isDown ? timeOut() : healthyFate(1.0, usual);
        }
        case judge_fault::restartOne:
        case judge_fault::restartAll: {
            const bool isConcerned = m_plan.fault == judge_fault::restartAll || target == sickTarget;
            if (isSickHere) {
                return {observed::connectFailed, milliseconds(1)};
            }
            const bool isSlowStart = isConcerned && since < refuseSeconds + slowStartSeconds;
            return healthyFate(isSlowStart ? 8.0 : 1.0, usual);
        }
        case judge_fault::dependencySick:
            return healthyFate(1.0, 0.4);
        case judge_fault::allSlow:
            return healthyFate(5.0, usual);
        default:
            return healthyFate(1.0, usual);
        }
    }

    std::size_t chooseTarget(std::size_t member, instant now)
    {
        std::vector<double> weights;
        for (std::size_t i = 0; i < m_judges[member].targets().size(); ++i) {
            weights.push_back(m_judges[member].weightOf(i, now));
        }
        for (std::size_t i = 0; i < weights.size(); ++i) {
            if (m_judges[member].takeTrial(i, now)) {
                return i;
            }
        }
        return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random);
    }

    void sendRequests(instant now)
    {
        const double mean = m_plan.requestsPerSecond / m_plan.members * flamingofield::toSeconds(tickLength);
        for (std::size_t member = 0; member < m_judges.size(); ++member) {
            if (isPaused(member, now)) {
                continue;
            }
            const int count = std::poisson_distribution<>(mean)(m_random);
            for (int i = 0; i < count; ++i) {
                sendRequest(member, now + toDuration(uniform() * flamingofield::toSeconds(tickLength)));
            }
        }
    }

    void sendRequest(std::size_t member, instant now)
    {
        const std::size_t target = chooseTarget(member, now);
        const fate f = decideFate(member, target, now);
        if (sinceFault(now) >= 0.0) {
            ++m_sent;
            m_sentToSick += isSick(member, target, now) ? 1 : 0;
        }
        observation seen;
        seen.target = target;
        seen.kind = f.kind;
        seen.latency = f.latency;
        seen.source = m_random() % 40;
        const duration lateLimit = m_judges[member].lateLimit();
        if (f.latency > lateLimit) {
            seen.kind = observed::lateInFlight;
            seen.latency = lateLimit;
        }
        const instant at = now + seen.latency;
        seen.at = at;
        m_pending.push({at, member, seen});
    }

    void deliver(instant until)
    {
        std::vector<pending_observation> kept;
        while (!m_pending.empty() && m_pending.top().at <= until) {
            pending_observation next = m_pending.top();
            m_pending.pop();
            if (isPaused(next.member, until)) {
                kept.push_back(next);
                continue;
            }
            next.seen.at = std::max(next.at, until - tickLength);
            m_judges[next.member].observe(next.seen);
        }
        for (const auto &p : kept) {
            m_pending.push(p);
        }
    }

    void runJudges(instant now)
    {
        for (std::size_t member = 0; member < m_judges.size(); ++member) {
            if (isPaused(member, now)) {
                continue;
            }
            for (const auto &event : m_judges[member].tick(now)) {
                const bool isEjection = event.what == judge_event::kind::ejected || event.what == judge_event::kind::pathBlamed;
                if (isEjection && !isSick(member, indexOf(event.target), now)) {
                    ++m_result.falseEjections;
                }
            }
        }
    }

    std::size_t indexOf(const std::string &address) const
    {
        const auto &targets = m_judges.front().targets();
        const auto found = std::find_if(targets.begin(), targets.end(), [&](const auto &t) { return t.address == address; });
        return static_cast<std::size_t>(found - targets.begin());
    }

    void deliverReports(instant now)
    {
        for (auto &report : m_reports) {
            for (std::size_t member = 0; member < m_judges.size(); ++member) {
                if (member == report.from || isPaused(member, now)) {
                    continue;
                }
                for (const auto &r : report.reports) {
                    m_judges[member].hearPeer(1000 + report.from, r, report.at + m_plan.peerDelay);
                }
            }
        }
        m_reports.clear();
    }

    void sendReports(instant now)
    {
        for (std::size_t member = 0; member < m_judges.size(); ++member) {
            if (isPaused(member, now)) {
                continue;
            }
            std::vector<evidence_report> reports = m_judges[member].reports(now);
            if (m_plan.fault == judge_fault::lyingPeer && member == oddMember) {
                for (const auto &t : m_judges[member].targets()) {
                    reports.push_back({t.address, 1000.0, {100.0, 100.0}, false});
                }
            }
            m_reports.push_back({now, member, std::move(reports)});
        }
    }

    void check(instant now)
    {
        int out = 0;
        int live = 0;
        std::vector<bool> inServiceAnywhere(static_cast<std::size_t>(m_plan.targets), false);
        for (std::size_t member = 0; member < m_judges.size(); ++member) {
            int slots = 0;
            const auto &targets = m_judges[member].targets();
            for (std::size_t i = 0; i < targets.size(); ++i) {
                const bool isIn = targets[i].state != target_state::ejected && targets[i].state != target_state::trial;
                slots += isIn ? targets[i].slots : 0;
                inServiceAnywhere[i] = inServiceAnywhere[i] || isIn;
            }
            m_result.floorViolations += slots < m_plan.floorSlots ? 1 : 0;
            if (isPaused(member, now)) {
                continue;
            }
            ++live;
            out += m_judges[member].weightOf(sickTarget, now) == 0.0 ? 1 : 0;
        }
        const auto anywhere = std::count(inServiceAnywhere.begin(), inServiceAnywhere.end(), true);
        m_result.fleetFloorViolations += anywhere * m_plan.slots < m_plan.floorSlots ? 1 : 0;
        const double since = sinceFault(now);
        if (since >= 0.0 && out > 0 && m_result.firstMemberSeconds < 0.0) {
            m_result.firstMemberSeconds = since;
        }
        if (since >= 0.0 && out == live && m_result.detectionSeconds < 0.0) {
            m_result.detectionSeconds = since;
        }
    }

    const judge_model_plan &m_plan;
    std::mt19937_64 m_random;
    instant m_start;
    instant m_faultStart;
    instant m_end;
    std::vector<service_judge> m_judges;
    std::priority_queue<pending_observation, std::vector<pending_observation>, std::greater<>> m_pending;
    std::vector<pending_report> m_reports;
    judge_model_result m_result;
    long m_sent = 0;
    long m_sentToSick = 0;
};

} // namespace

const std::vector<judge_fault> &allJudgeFaults()
{
    static const std::vector<judge_fault> all = [] {
        std::vector<judge_fault> faults;
        for (int i = 0; i <= static_cast<int>(judge_fault::pausedAndFailThirty); ++i) {
            faults.push_back(static_cast<judge_fault>(i));
        }
        return faults;
    }();
    return all;
}

const char *toString(judge_fault fault)
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
                                                 "dependency sick",
                                                 "all slow",
                                                 "member paused 10 s",
                                                 "sick beyond the floor",
                                                 "lying peer",
                                                 "all slow and one times out",
                                                 "paused member and 30% fail"};
    return names[static_cast<std::size_t>(fault)];
}

judge_model_result runJudgeModel(const judge_model_plan &plan)
{
    return judge_model(plan).run();
}

} // namespace bench
