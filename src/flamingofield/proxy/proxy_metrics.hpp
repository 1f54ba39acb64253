#pragma once

#include "report/latency_histogram.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace flamingofield {

/// Counter of the bytes between data centres by cause: requests, answers or messages (between nodes).
constexpr std::string_view dataCentreBytes = "flamingofield_data_centre_bytes_total";

/// Counters, gauges and latency histograms of one node. Not thread-safe; used on the event loop only.
class proxy_metrics
{
public:
    /// Adds to a counter.
    /// @param labels in exposition format without braces, such as service="a",outcome="b"
    void count(std::string_view name, std::string_view labels, std::uint64_t amount = 1);

    /// Adds one to a counter of a client account. Accounts beyond the first ones share one label, so that the number of accounts does not
    /// bound the size of the page.
    void countAccount(std::string_view name, std::string_view account);

    /// Sets a gauge.
    void gauge(std::string_view name, std::string_view labels, double value);

    /// Removes all gauges of a name, so that label sets that no longer apply disappear.
    void clearGauges(std::string_view name);

    /// Adds one latency under a label set.
    void latency(std::string_view name, std::string_view labels, duration taken);

    /// All metrics in the Prometheus text exposition format.
    std::string text() const;

private:
    static constexpr std::size_t maxAccountLabels = 100;

    using key = std::pair<std::string, std::string>;
    std::map<key, std::uint64_t> m_counters;
    std::map<key, double> m_gauges;
    std::map<key, latency_histogram> m_latencies;
    std::set<std::string, std::less<>> m_accounts; ///< With labels of their own.
};

} // namespace flamingofield
