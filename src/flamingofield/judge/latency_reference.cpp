#include "judge/latency_reference.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

constexpr double quantile = 0.95;
constexpr double step = 0.08;
constexpr double slowFactor = 3.0;
constexpr double slowMarginMs = 30.0;
constexpr double unknownLimitMs = 500.0; // Until enough answers have been seen.
constexpr int leastCount = 5;
constexpr int leastTotal = 20; // Over all targets of the service.

} // namespace

void addLatency(latency_estimate &estimate, duration latency)
{
    const double ms = toSeconds(latency) * 1000.0;
    if (estimate.count == 0) {
        estimate.quantileMs = ms;
    }
    ++estimate.count;
    const double scale = std::max(estimate.quantileMs, 0.1) * step;
    estimate.quantileMs += ms > estimate.quantileMs ? scale * quantile : -scale * (1.0 - quantile);
}

duration slowLimit(const std::vector<latency_estimate> &estimates)
{
    std::vector<double> known;
    int total = 0;
    for (const auto &e : estimates) {
        total += e.count;
        if (e.count >= leastCount) {
            known.push_back(e.quantileMs);
        }
    }
    double limitMs = unknownLimitMs;
    if (!known.empty() && total >= leastTotal) {
        const auto middle = known.begin() + static_cast<long>((known.size() - 1) / 2);
        std::nth_element(known.begin(), middle, known.end());
        limitMs = *middle * slowFactor + slowMarginMs;
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(limitMs));
}

} // namespace flamingofield
