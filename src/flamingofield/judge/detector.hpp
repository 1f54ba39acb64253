#pragma once

#include "config/operator_text.hpp"

#include <array>
#include <cstdint>
#include <variant>

namespace flamingofield {

/// One batch of observations of a target.
struct evidence_batch
{
    int good = 0;
    int bad = 0;
    double healthyBadRate = 0.01; ///< Learned from the service's other targets.
};

/// Cumulative sum test of one alternative bad rate.
struct cusum
{
    double score = 0.0; ///< Log-likelihood ratio, in nats.
};

constexpr std::size_t cusumAlternatives = 3;

/// Sequential test against several bad rates at once, so that total and partial failure are both found fast.
struct sequential_detector
{
    std::array<cusum, cusumAlternatives> tests;
};

/// Baseline: a number of failures in a row.
struct consecutive_detector
{
    int inRow = 0;
    int limit = 5;
};

/// Baseline: a share of failures among the last observations.
struct percentage_detector
{
    std::uint32_t history = 0; ///< Bit per observation, newest lowest.
    int filled = 0;
    int limit = 8; ///< Failures among the last 20 observations.
};

using detector = std::variant<sequential_detector, consecutive_detector, percentage_detector>;

/// Detector of the kind that the text asks for.
/// @param limit of a baseline; 0 for its usual one
detector makeDetector(judge_kind kind, int limit = 0);

/// Takes in a batch of observations.
void observe(detector &d, const evidence_batch &batch);

/// Evidence that the target is sick, in nats; 0 for none. A baseline yields 0 or its full threshold.
/// @param threshold evidence at which a target is sick
double evidenceOf(const detector &d, double threshold);

/// Forgets all evidence.
void reset(detector &d);

/// Evidence needed so that a healthy target is ejected about as often as the operator accepts.
/// @param observationsPerSecond of the target over all members that share evidence
double evidenceThreshold(double falseEjectionsPerTargetDay, double observationsPerSecond);

} // namespace flamingofield
