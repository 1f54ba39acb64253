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

/// How a request ended for its caller.
enum class request_end { served, late, failed, refused, unknown };

constexpr std::size_t requestEnds = 5;

/// Name of an end in metrics.
const char *toString(request_end end);

/// Requests that met the objective and all requests.
struct objective_count
{
    std::uint64_t good = 0;
    std::uint64_t total = 0;
};

constexpr seconds burnBucketLength{10};
constexpr std::size_t burnBuckets = 360; ///< One hour.

/// Metrics of one service and rank.
struct rank_metrics
{
    std::array<std::uint64_t, requestEnds> ends{};
    latency_histogram latency;
    objective_count shortWindow; ///< Last five minutes.
    objective_count longWindow; ///< Last hour.
};

/// Requests by service and rank; thread-safe.
class service_metrics
{
public:
    /// Counts one request.
    void record(const std::string &service, const std::string &rank, request_end end, duration latency, instant now);

    /// Copy of all metrics by (service, rank), with the windows as of now.
    std::map<std::pair<std::string, std::string>, rank_metrics> collect(instant now) const;

private:
    struct series
    {
        std::array<std::uint64_t, requestEnds> ends{};
        latency_histogram latency;
        std::vector<objective_count> buckets = std::vector<objective_count>(burnBuckets);
        std::vector<long long> bucketNumbers = std::vector<long long>(burnBuckets, -1);
    };

    static objective_count sumBuckets(const series &s, long long now, long long length);

    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, series> m_series;
};

} // namespace flamingofield
