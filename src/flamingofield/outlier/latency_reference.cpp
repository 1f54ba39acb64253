#include "outlier/latency_reference.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

constexpr double trackedQuantile = 0.95;
constexpr double relativeStep = 0.08;
constexpr double slowFactor = 3.0;
constexpr double slowMarginMs = 30.0;
constexpr double initialLimitMs = 500.0; // Until enough answers have arrived.
constexpr int minAnswersPerTarget = 5;
constexpr int minAnswersPerService = 20;

} // namespace

void addLatency(latency_estimate &estimate, duration latency)
{
    const double ms = toSeconds(latency) * 1000.0;
    if (estimate.count == 0) {
        estimate.quantileMs = ms;
    }
    ++estimate.count;
    const double scale = std::max(estimate.quantileMs, 0.1) * relativeStep;
    estimate.quantileMs += ms > estimate.quantileMs ? scale * trackedQuantile : -scale * (1.0 - trackedQuantile);
}

duration slowLimit(const std::vector<latency_estimate> &estimates)
{
    std::vector<double> quantilesMs;
    int total = 0;
    for (const auto &e : estimates) {
        total += e.count;
        if (e.count >= minAnswersPerTarget) {
            quantilesMs.push_back(e.quantileMs);
        }
    }
    double limitMs = initialLimitMs;
    if (!quantilesMs.empty() && total >= minAnswersPerService) {
        const auto middle = quantilesMs.begin() + static_cast<long>((quantilesMs.size() - 1) / 2);
        std::nth_element(quantilesMs.begin(), middle, quantilesMs.end());
        limitMs = *middle * slowFactor + slowMarginMs;
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(limitMs));
}

} // namespace flamingofield
