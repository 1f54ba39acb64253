#include "report/service_metrics.hpp"

namespace flamingofield {

namespace {

constexpr long long shortWindowBuckets = 30; // Five minutes.

long long bucketNumber(instant now)
{
    return now.time_since_epoch() / burnBucketLength;
}

} // namespace

const char *toString(request_end end)
{
    constexpr std::array<const char *, requestEndCount> names{"served", "late", "failed", "refused", "unknown"};
    return names[static_cast<std::size_t>(end)];
}

void service_metrics::record(const std::string &service, const std::string &rank, request_end end, duration latency, instant now)
{
    const std::lock_guard lock(m_mutex);
    series &s = m_series[{service, rank}];
    ++s.ends[static_cast<std::size_t>(end)];
    s.latency.add(latency);
    const long long number = bucketNumber(now);
    const auto bucket = static_cast<std::size_t>(number % static_cast<long long>(burnBucketCount));
    if (s.bucketNumbers[bucket] != number) {
        s.bucketNumbers[bucket] = number;
        s.buckets[bucket] = {};
    }
    ++s.buckets[bucket].total;
    s.buckets[bucket].good += end == request_end::served ? 1 : 0;
}

objective_count service_metrics::sumBuckets(const series &s, long long now, long long bucketCount)
{
    objective_count sum;
    for (std::size_t i = 0; i < burnBucketCount; ++i) {
        if (s.bucketNumbers[i] > now - bucketCount) {
            sum.good += s.buckets[i].good;
            sum.total += s.buckets[i].total;
        }
    }
    return sum;
}

std::map<std::pair<std::string, std::string>, rank_metrics> service_metrics::collect(instant now) const
{
    const std::lock_guard lock(m_mutex);
    std::map<std::pair<std::string, std::string>, rank_metrics> collected;
    const long long number = bucketNumber(now);
    for (const auto &[key, s] : m_series) {
        rank_metrics metrics;
        metrics.ends = s.ends;
        metrics.latency = s.latency;
        metrics.shortWindow = sumBuckets(s, number, shortWindowBuckets);
        metrics.longWindow = sumBuckets(s, number, static_cast<long long>(burnBucketCount));
        collected.emplace(key, std::move(metrics));
    }
    return collected;
}

} // namespace flamingofield
