#pragma once

#include "judge/evidence_pool.hpp"
#include "judge/judged_target.hpp"
#include "judge/observation.hpp"

#include <optional>
#include <string>
#include <vector>

namespace flamingofield {

/// A change of state, for counters and logs.
struct judge_event
{
    enum class kind {
        ejected,
        denied,
        pathBlamed,
        restored,
        trialStarted,
        readmitted,
        relapsed,
        leaving,
        selfSuspected
    } what
        = kind::ejected;
    std::string target;
    double evidence = 0.0;
};

/// Name of an event for logs.
const char *toString(judge_event::kind kind);

/// How a service is judged.
struct judge_policy
{
    judge_kind kind = judge_kind::sequential;
    double falseEjectionsPerTargetDay = 1.0;
    int floorSlots = 0;
    int baselineLimit = 0; ///< Of a baseline's detector; 0 for its usual one.
    bool usesPeers = true;
    bool usesRelative = true; ///< Compare with the service's other targets, and count slow answers.
};

/// Judges the targets of one service. A plain table with systems that run over it; not thread-safe, reads no clock.
class service_judge
{
public:
    explicit service_judge(judge_policy policy);

    /// Sets the targets of the text; rows that are no longer listed leave.
    void setTargets(const std::vector<target_spec> &targets, instant now);

    void setPolicy(judge_policy policy)
    {
        m_policy = policy;
    }

    /// Sets how many nodes share evidence, this one among them.
    void setMemberCount(int count)
    {
        m_memberCount = count;
    }

    /// Takes in one observation of this node.
    void observe(const observation &o);

    /// Takes in a peer's evidence.
    void hearPeer(std::uint64_t peer, const evidence_report &report, instant now);

    /// Marks a target as leaving or back, as said by itself.
    void setLeaving(std::size_t target, bool isLeaving, instant now);

    /// Marks a target as leaving for a while, as said by a peer or the VM list.
    void tellLeaving(std::size_t target, instant now);

    /// Runs the systems: score, decide, floor, trials, ramps.
    std::vector<judge_event> tick(instant now);

    /// Share of work for a target, 0 to 1.
    double weightOf(std::size_t target, instant now) const;

    /// True if a trial request should be let through now; it is then counted as sent.
    bool takeTrial(std::size_t target, instant now);

    /// Evidence worth telling the other members: all targets while any is doubted here or by a peer, else none.
    std::vector<evidence_report> reports(instant now) const;

    /// True while a target that takes work is doubted, so that the other members should hear often.
    bool isInDoubt(instant now) const;

    /// Age after which a request is late.
    duration lateLimit() const
    {
        return m_slowLimit;
    }

    /// Evidence at which a target is ejected at present.
    double threshold() const
    {
        return m_threshold;
    }

    const std::vector<judged_target> &targets() const
    {
        return m_targets;
    }

private:
    bool isBad(const observation &o) const;
    bool countsAgain(judged_target &t, const observation &o) const;
    void noteRestart(judged_target &t, const observation &o);
    static void beginWarming(judged_target &t, instant now);
    void observeTrial(judged_target &t, const observation &o);
    evidence_view viewAt(instant now) const;
    void scoreBatches(instant now);
    void learnRates(instant now);
    bool isDeniedByPeers(const judged_target &t, instant now) const;
    bool suspectsItself(instant now) const;
    void decide(instant now, std::vector<judge_event> &events);
    void eject(judged_target &t, instant now);
    void advanceStates(instant now, std::vector<judge_event> &events);
    void updateThreshold();

    judge_policy m_policy;
    std::vector<judged_target> m_targets;
    duration m_slowLimit = milliseconds(500);
    double m_threshold = 15.0;
    instant m_lastTick;
    int m_memberCount = 1;
    bool m_isSelfSuspected = false;
};

} // namespace flamingofield
