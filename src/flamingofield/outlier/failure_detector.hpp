#pragma once

#include "config/operator_config.hpp"

#include <array>
#include <cstdint>
#include <variant>

namespace flamingofield {

/// Numbers of good and bad observations of a target in one tick.
struct evidence_batch
{
    int good = 0;
    int bad = 0;
    double healthyBadRate = 0.01; ///< Share of bad observations of a healthy target, from the service's other targets.
};

/// Cumulative sum test of one alternative bad rate.
struct cusum
{
    double score = 0.0; ///< Log-likelihood ratio, in nats.
};

constexpr std::size_t cusumAlternativeCount = 3;

/// Tests several bad rates at once, so that both total and partial failure are detected fast.
struct sequential_detector
{
    std::array<cusum, cusumAlternativeCount> tests;
};

/// Baseline detector for comparison: a number of consecutive failures.
struct consecutive_detector
{
    int consecutiveFailures = 0;
    int limit = 5;
};

/// Baseline detector for comparison: a share of failures among the last observations.
struct percentage_detector
{
    std::uint32_t history = 0; ///< One bit per observation, 1 for a bad one; the newest is the lowest bit.
    int observationCount = 0;
    int limit = 8; ///< Failures among the last 20 observations.
};

using failure_detector = std::variant<sequential_detector, consecutive_detector, percentage_detector>;

/// Creates a detector of the configured kind.
/// @param limit failures at which a baseline detector reports the target; 0 for its default
failure_detector makeDetector(detector_kind kind, int limit = 0);

/// Updates the detector with a batch of observations.
void observe(failure_detector &d, const evidence_batch &batch);

/// Evidence that the target is unhealthy, in nats; 0 for none. A baseline detector returns 0 or the threshold.
/// @param threshold evidence at which a target counts as unhealthy
double evidenceOf(const failure_detector &d, double threshold);

/// Discards all evidence.
void reset(failure_detector &d);

/// Evidence threshold, in nats, at which a healthy target is ejected about as often as the operator accepts.
/// @param observationsPerSecond of one target, summed over all members that share evidence
double evidenceThreshold(double falseEjectionsPerTargetDay, double observationsPerSecond);

} // namespace flamingofield
