#include "outlier/failure_detector.hpp"

#include <algorithm>
#include <cmath>

namespace flamingofield {

namespace {

constexpr std::array<double, cusumAlternativeCount> alternativeBadRates{0.12, 0.35, 0.9};
constexpr double maxBadRate = 0.97;
constexpr double minBadRateRatio = 2.0; // Of an alternative to the healthy rate.
constexpr double secondsPerDay = 86400.0;
constexpr double minThreshold = 6.0;
constexpr double minObservationsPerDay = 1000.0;
constexpr int percentageWindowSize = 20;

void addBatch(cusum &test, double alternative, const evidence_batch &batch)
{
    const double healthy = batch.healthyBadRate;
    const double unhealthy = std::min(std::max(alternative, healthy * minBadRateRatio), maxBadRate);
    if (unhealthy <= healthy) {
        test = {};
        return;
    }
    test.score += batch.bad * std::log(unhealthy / healthy) + batch.good * std::log((1.0 - unhealthy) / (1.0 - healthy));
    test.score = std::max(test.score, 0.0);
}

void observeBatch(sequential_detector &d, const evidence_batch &batch)
{
    for (std::size_t i = 0; i < cusumAlternativeCount; ++i) {
        addBatch(d.tests[i], alternativeBadRates[i], batch);
    }
}

void observeBatch(consecutive_detector &d, const evidence_batch &batch)
{
    if (d.consecutiveFailures < d.limit) {
        d.consecutiveFailures = batch.good > 0 ? 0 : d.consecutiveFailures + batch.bad;
    }
}

void observeBatch(percentage_detector &d, const evidence_batch &batch)
{
    const auto push = [&](bool isBad) {
        d.history = (d.history << 1U) | (isBad ? 1U : 0U);
        d.observationCount = std::min(d.observationCount + 1, percentageWindowSize);
    };
    for (int i = 0; i < batch.good; ++i) {
        push(false);
    }
    for (int i = 0; i < batch.bad; ++i) {
        push(true);
    }
}

bool isLimitReached(const percentage_detector &d)
{
    const std::uint32_t window = d.history & ((1U << static_cast<unsigned>(percentageWindowSize)) - 1U);
    return d.observationCount >= percentageWindowSize && __builtin_popcount(window) >= d.limit;
}

const cusum &strongest(const sequential_detector &d)
{
    return *std::max_element(d.tests.begin(), d.tests.end(), [](const auto &a, const auto &b) { return a.score < b.score; });
}

} // namespace

failure_detector makeDetector(detector_kind kind, int limit)
{
    switch (kind) {
    case detector_kind::consecutive: {
        consecutive_detector d;
        d.limit = limit > 0 ? limit : d.limit;
        return d;
    }
    case detector_kind::percentage: {
        percentage_detector d;
        d.limit = limit > 0 ? limit : d.limit;
        return d;
    }
    case detector_kind::sequential:
        break;
    }
    return sequential_detector{};
}

void observe(failure_detector &d, const evidence_batch &batch)
{
    std::visit([&](auto &kind) { observeBatch(kind, batch); }, d);
}

double evidenceOf(const failure_detector &d, double threshold)
{
    if (const auto *sequential = std::get_if<sequential_detector>(&d)) {
        return strongest(*sequential).score;
    }
    if (const auto *consecutive = std::get_if<consecutive_detector>(&d)) {
        return consecutive->consecutiveFailures >= consecutive->limit ? threshold : 0.0;
    }
    return isLimitReached(std::get<percentage_detector>(d)) ? threshold : 0.0;
}

void reset(failure_detector &d)
{
    if (auto *consecutive = std::get_if<consecutive_detector>(&d)) {
        consecutive->consecutiveFailures = 0;
    } else if (auto *percentage = std::get_if<percentage_detector>(&d)) {
        percentage->history = 0;
        percentage->observationCount = 0;
    } else {
        d = sequential_detector{};
    }
}

double evidenceThreshold(double falseEjectionsPerTargetDay, double observationsPerSecond)
{
    const double observationsPerDay = std::max(observationsPerSecond * secondsPerDay, minObservationsPerDay);
    const double alternatives = cusumAlternativeCount;
    return std::max(minThreshold, std::log(alternatives * observationsPerDay / falseEjectionsPerTargetDay));
}

} // namespace flamingofield
