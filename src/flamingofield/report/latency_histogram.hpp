#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <memory>
#include <vector>

namespace flamingofield {

constexpr std::size_t latencyBins = 64;

/// Counts by latency on a logarithmic axis from 0.1 ms to 100 s, kept by Boost.Histogram. Not thread-safe.
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

    /// Latency below which a share of the counts lies, in milliseconds; the upper edge of its bin.
    /// @param share from 0 to 1
    double quantileMs(double share) const;

    std::uint64_t total() const;

    /// Counts by bin, with the counts below and above the axis first and last.
    std::vector<std::uint64_t> counts() const;

    /// Upper edge of each of counts() but the last, in milliseconds.
    static std::vector<double> upperEdgesMs();

    /// Adds counts in the form of counts(); others of another size are ignored.
    void addCounts(const std::vector<std::uint64_t> &counts);

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace flamingofield
