#pragma once

#include "core/time.hpp"
#include "judge/judged_target.hpp"

#include <vector>

namespace flamingofield {

constexpr seconds peerEvidenceLifetime{3};
constexpr double leastEvidence = 2.5; // Nats, about one bad observation that no good ones followed.

/// A service's targets with what judging them needs at one instant.
struct evidence_view
{
    const std::vector<judged_target> &targets;
    instant now;
    double threshold = 0.0; ///< Evidence at which a target is ejected.
    bool usesPeers = true;
    bool usesRelative = true;
};

/// Bad rate of a healthy target, learned from the service's other targets.
double healthyBadRate(std::size_t target, const evidence_view &view);

/// Recent counts of a target over this node and the peers, each of which has a bounded weight.
recent_counts pooledCounts(const judged_target &t, const evidence_view &view);

/// True if at least half of the evidence stands in comparison with the service's other targets, so that a fault of the
/// whole service, of a dependency or of this node convicts nobody.
bool isWorseThanOthers(std::size_t target, double evidence, const evidence_view &view);

/// Evidence of this node and, where most witnesses bear it out and the own view does not contradict, of its peers.
double combinedEvidence(const judged_target &t, const evidence_view &view);

} // namespace flamingofield
