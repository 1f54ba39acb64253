#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <memory>
#include <vector>

namespace flamingofield {

constexpr std::size_t latencyBins = 64;

/// Histogram of latencies on a logarithmic axis from 0.1 ms to 100 s. Not thread-safe.
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram &other);
    latency_histogram &operator=(const latency_histogram &other);
    latency_histogram(latency_histogram &&other) noexcept;
    latency_histogram &operator=(latency_histogram &&other) noexcept;

    void add(duration latency);

    /// Quantile in milliseconds, as the upper edge of the bin in which it lies.
    /// @param quantile from 0 to 1
    double quantileMs(double quantile) const;

    std::uint64_t total() const;

    /// Counts by bin; the first and last are of latencies below and above the axis.
    std::vector<std::uint64_t> counts() const;

    /// Upper edges of the bins of counts() except the last one, in milliseconds.
    static std::vector<double> upperEdgesMs();

    /// Adds the counts of another histogram's counts(); a list of another size is ignored.
    void addCounts(const std::vector<std::uint64_t> &counts);

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace flamingofield
