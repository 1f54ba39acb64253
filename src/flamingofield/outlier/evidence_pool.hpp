#pragma once

#include "core/time.hpp"
#include "outlier/target_health.hpp"

#include <vector>

namespace flamingofield {

constexpr seconds peerEvidenceLifetime{3};
constexpr double minEvidence = 2.5; // Nats, about one bad observation without good ones after it.

/// Input for the functions below: a service's targets, the time and the rules that apply.
struct evidence_view
{
    const std::vector<target_health> &targets;
    instant now;
    double threshold = 0.0; ///< Evidence at which a target is ejected.
    bool usesPeerEvidence = true;
    bool comparesTargets = true;
};

/// Share of bad observations that a healthy target has, estimated from the service's other targets.
double healthyBadRate(std::size_t target, const evidence_view &view);

/// Recent counts of a target, summed over this node and its peers; the weight of each peer is bounded.
recent_counts pooledCounts(const target_health &t, const evidence_view &view);

/// True if at least half of the evidence remains when the target is compared with the service's other targets. A fault of
/// the whole service, of a dependency or of this node affects all targets alike and so ejects none.
bool isWorseThanOthers(std::size_t target, double evidence, const evidence_view &view);

/// Evidence of this node, plus that of its peers if most informed members confirm it and this node's observations do not
/// contradict it.
double combinedEvidence(const target_health &t, const evidence_view &view);

} // namespace flamingofield
