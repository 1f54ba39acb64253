#pragma once

#include "outlier/failure_detector.hpp"
#include "outlier/latency_reference.hpp"

#include <map>
#include <string>

namespace flamingofield {

enum class target_state { inService, warming, ejected, trial, ramping, leaving };

/// Name of a state for logs and status.
const char *toString(target_state state);

/// Observation counts of the last few seconds, with exponential decay.
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
    instant receivedAt;
};

/// State of one target of a service.
struct target_health
{
    std::string address;
    int slots = 0;
    target_state state = target_state::warming;
    /// Start of the state, or of the reduced weight. A target that comes into service after warm-up or ramp-up keeps the start of that
    /// phase.
    instant stateSince;
    failure_detector failureDetector;
    latency_estimate latency;
    double longTermBad = 0.0; ///< Slowly decaying counts, from which the healthy bad rate is estimated.
    double longTermTotal = 0.0;
    recent_counts recent;
    int batchGood = 0; ///< Since the last tick.
    int batchBad = 0;
    std::uint64_t lastBadSource = 0;
    instant lastBadAt;
    int backoffLevel = 0; ///< Each level doubles the ejection time and the trials needed, up to a limit.
    instant ejectedUntil;
    instant trialSentAt;
    int trialsPassed = 0;
    int consecutiveRefusals = 0; ///< Refused connections, as from a target that restarts.
    instant lastWarmedAt; ///< Start of the last warm-up after a restart.
    instant reportedLeavingUntil; ///< Leaving until then, as reported by a peer or the VM list.
    bool hasReducedWeight = false; ///< Unhealthy, but kept in service at a reduced weight because of the floor.
    double ownEvidence = 0.0; ///< Evidence of this node alone when it ejected the target.
    bool isEjectedOnPeerEvidence = false; ///< Ejected without evidence of this node.
    bool isPathSuspected = false; ///< Ejected although the peers' requests succeed, so probably a fault of this node's network path.
    bool isListed = true; ///< Still in the operator's configuration.
    std::map<std::uint64_t, peer_evidence> peers; ///< By incarnation.
};

/// This node's evidence about one target, for the other members.
struct evidence_report
{
    std::string target;
    double score = 0.0;
    recent_counts recent;
    bool isWarming = false;
};

/// True if the target is listed and its state admits requests other than trials.
bool canReceiveRequests(const target_health &t);

/// True if the target is ejected or on trial.
bool isEjectedOrOnTrial(const target_health &t);

} // namespace flamingofield
