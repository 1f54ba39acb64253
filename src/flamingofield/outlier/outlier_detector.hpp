#pragma once

#include "outlier/evidence_pool.hpp"
#include "outlier/observation.hpp"
#include "outlier/target_health.hpp"

#include <optional>
#include <string>
#include <vector>

namespace flamingofield {

/// A change of a target's state, for counters and logs.
struct outlier_event
{
    enum class kind {
        ejected,
        deniedByFloor,
        pathSuspected,
        restored,
        trialStarted,
        readmitted,
        relapsed,
        leaving,
        selfSuspected
    } type
        = kind::ejected;
    std::string target;
    double evidence = 0.0;
};

/// Name of an event for logs.
const char *toString(outlier_event::kind kind);

/// Settings for outlier detection in one service.
struct outlier_policy
{
    detector_kind kind = detector_kind::sequential;
    double falseEjectionsPerTargetDay = 1.0;
    int floorSlots = 0;
    int baselineLimit = 0; ///< Failure limit of a baseline detector; 0 for its default.
    bool usesPeerEvidence = true; ///< Use the peers' evidence.
    /// Compare with the service's other targets. Also: count slow answers as bad, count simultaneous bad observations of one source
    /// once, start the warm-up of targets whose restart this node detects, and let this node suspect itself.
    bool comparesTargets = true;
};

/// Outlier detection for the targets of one service: ejects, tries and readmits them. Not thread-safe; all times are passed in.
class outlier_detector
{
public:
    explicit outlier_detector(outlier_policy policy);

    /// Sets the configured targets; those no longer listed keep their row and index but receive no requests.
    void setTargets(const std::vector<target_spec> &targets, instant now);

    void setPolicy(outlier_policy policy)
    {
        m_policy = policy;
    }

    /// Sets how many nodes share evidence, this one among them.
    void setMemberCount(int count)
    {
        m_memberCount = count;
    }

    /// Adds one observation of this node.
    void observe(const observation &o);

    /// Replaces a peer's evidence about a target; reports of unknown targets are ignored.
    void applyPeerReport(std::uint64_t peer, const evidence_report &report, instant now);

    /// Marks a target as leaving or as back in service, as reported by the target itself.
    void setLeaving(std::size_t target, bool isLeaving, instant now);

    /// Marks a target as leaving until the report expires; the report comes from a peer or the VM list.
    void setReportedLeaving(std::size_t target, instant now);

    /// Evaluates the observations since the last tick and updates the state of each target.
    /// @return the changes of state
    std::vector<outlier_event> tick(instant now);

    /// Share of requests that a target receives relative to a healthy one, 0 to 1.
    double weightOf(std::size_t target, instant now) const;

    /// True if a trial request is due now; the trial is then recorded as sent.
    bool tryStartTrial(std::size_t target, instant now);

    /// Evidence to send to the other members: about all targets while any is ejected, on trial or suspected here or by a
    /// peer, otherwise none.
    std::vector<evidence_report> evidenceReports(instant now) const;

    /// True while a listed target is suspected, or was ejected or put on trial within the last 3 s, so that evidence should be
    /// sent to the members at short intervals.
    bool hasSuspectedTargets(instant now) const;

    /// Age above which a request counts as slow.
    duration slowRequestLimit() const
    {
        return m_slowRequestLimit;
    }

    /// Evidence at which a target is ejected at present.
    double threshold() const
    {
        return m_threshold;
    }

    const std::vector<target_health> &targets() const
    {
        return m_targets;
    }

private:
    bool isBad(const observation &o) const;
    /// Records the source of a bad observation.
    /// @return false if one of this source has just been counted and the policy counts simultaneous ones once
    bool shouldCountBad(target_health &t, const observation &o) const;
    void detectRestart(target_health &t, const observation &o);
    static void beginWarming(target_health &t, instant now);
    void observeTrial(target_health &t, const observation &o);
    evidence_view viewAt(instant now) const;
    void scoreBatches(instant now);
    void updateRates(instant now);
    bool isContradictedByPeers(const target_health &t, instant now) const;
    bool shouldSuspectSelf(instant now) const;
    void decideEjections(instant now, std::vector<outlier_event> &events);
    void eject(target_health &t, instant now);
    void advanceStates(instant now, std::vector<outlier_event> &events);
    void updateThreshold();

    outlier_policy m_policy;
    std::vector<target_health> m_targets;
    duration m_slowRequestLimit = milliseconds(500);
    double m_threshold = 15.0;
    instant m_lastTick;
    int m_memberCount = 1;
    bool m_isSelfSuspected = false;
};

} // namespace flamingofield
