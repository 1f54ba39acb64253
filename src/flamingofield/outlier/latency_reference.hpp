#pragma once

#include "core/time.hpp"

#include <vector>

namespace flamingofield {

/// Running estimate of a high quantile of one target's latency.
struct latency_estimate
{
    double quantileMs = 0.0;
    int count = 0;
};

/// Updates the estimate with one latency by stochastic approximation; the step is proportional to the estimate.
void addLatency(latency_estimate &estimate, duration latency);

/// Latency above which an answer counts as slow: a multiple of the median estimate of the service's targets.
duration slowLimit(const std::vector<latency_estimate> &estimates);

} // namespace flamingofield
