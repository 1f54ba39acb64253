#pragma once

#include "report/latency_histogram.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace flamingofield {

/// Counters and latency histograms of one node, kept on the event loop.
class relay_metrics
{
public:
    /// Adds to a counter.
    /// @param labels in exposition form without braces, such as service="a",outcome="b"
    void count(std::string_view name, std::string_view labels, std::uint64_t amount = 1);

    void gauge(std::string_view name, std::string_view labels, double value);

    /// Adds one latency under a label set.
    void latency(std::string_view name, std::string_view labels, duration taken);

    /// Text exposition format.
    std::string text() const;

private:
    using key = std::pair<std::string, std::string>;
    std::map<key, std::uint64_t> m_counters;
    std::map<key, double> m_gauges;
    std::map<key, latency_histogram> m_latencies;
};

} // namespace flamingofield
