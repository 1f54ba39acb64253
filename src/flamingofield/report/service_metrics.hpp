#pragma once

#include "core/time.hpp"
#include "report/latency_histogram.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace flamingofield {

/// Result of a request from its caller's view.
enum class request_end { served, late, failed, refused, unknown };

constexpr std::size_t requestEndCount = 5;

/// Label value of an end in metrics.
const char *toString(request_end end);

/// Number of requests that met the objective, and of all requests.
struct objective_count
{
    std::uint64_t good = 0;
    std::uint64_t total = 0;
};

constexpr seconds burnBucketLength{10};
constexpr std::size_t burnBucketCount = 360; ///< One hour.

/// Metrics of one service and rank.
struct rank_metrics
{
    std::array<std::uint64_t, requestEndCount> ends{};
    latency_histogram latency;
    objective_count shortWindow; ///< Last five minutes.
    objective_count longWindow; ///< Last hour.
};

/// Counts and latencies of requests by service and rank; thread-safe.
class service_metrics
{
public:
    /// Counts one request.
    void record(const std::string &service, const std::string &rank, request_end end, duration latency, instant now);

    /// Copy of all metrics by (service, rank), with the windows that end now.
    std::map<std::pair<std::string, std::string>, rank_metrics> collect(instant now) const;

private:
    struct series
    {
        std::array<std::uint64_t, requestEndCount> ends{};
        latency_histogram latency;
        std::vector<objective_count> buckets = std::vector<objective_count>(burnBucketCount);
        std::vector<long long> bucketNumbers = std::vector<long long>(burnBucketCount, -1);
    };

    static objective_count sumBuckets(const series &s, long long now, long long bucketCount);

    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, series> m_series;
};

} // namespace flamingofield
