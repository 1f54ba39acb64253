#pragma once

#include "judge/detector.hpp"
#include "judge/latency_reference.hpp"

#include <map>
#include <string>

namespace flamingofield {

enum class target_state { inService, warming, ejected, trial, ramping, leaving };

/// Name of a state for logs and status.
const char *toString(target_state state);

/// Decayed counts of the last few seconds.
struct recent_counts
{
    double bad = 0.0;
    double total = 0.0;
};

/// A peer's evidence about a target.
struct peer_evidence
{
    double score = 0.0; ///< Nats, as from evidenceOf.
    recent_counts recent;
    instant heardAt;
};

/// Row of a judge's table: one target.
struct judged_target
{
    std::string address;
    int slots = 0;
    target_state state = target_state::warming;
    instant since;
    detector test;
    latency_estimate latency;
    double longBad = 0.0; ///< Decayed counts from which the healthy rate is learned.
    double longTotal = 0.0;
    recent_counts recent;
    int batchGood = 0; ///< Since the last tick.
    int batchBad = 0;
    std::uint64_t lastBadSource = 0;
    instant lastBadAt;
    int relapses = 0;
    instant holdUntil;
    instant trialSentAt;
    int trialsPassed = 0;
    int refusedInRow = 0; ///< Connections refused in a row, as by a target that restarts.
    instant lastWarmedAt; ///< Start of the last warming after a restart.
    instant toldLeavingUntil; ///< Another than the target itself says that it leaves.
    bool isReduced = false; ///< Sick, but kept at a reduced weight for the floor.
    double ownEvidence = 0.0; ///< Of this node alone when it ejected the target.
    bool isAdopted = false; ///< Ejected because most members did, without evidence of this node.
    bool isPathBlamed = false; ///< Ejected here although peers see it well.
    bool isListed = true; ///< Still in the operator's text.
    std::map<std::uint64_t, peer_evidence> peers; ///< By incarnation.
};

/// Evidence about one target, to be sent to the other members.
struct evidence_report
{
    std::string target;
    double score = 0.0;
    recent_counts recent;
    bool isWarming = false;
};

/// True if the state lets work through.
bool takesWork(const judged_target &t);

/// True if the target is ejected or on trial.
bool isOut(const judged_target &t);

} // namespace flamingofield
