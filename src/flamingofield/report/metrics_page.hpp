#pragma once

#include "gate/connection_server.hpp"
#include "report/counters.hpp"
#include "report/service_metrics.hpp"

#include <string>

namespace flamingofield {

/// Gauges of a node.
struct metrics_gauges
{
    connection_counts connections;
    std::size_t outcomes = 0; ///< Outcomes of at-most-once work that are kept.
};

/// Encodes all metrics in the text exposition format.
std::string encodeMetricsPage(const service_metrics &services, const counter_table &counters, const metrics_gauges &gauges);

} // namespace flamingofield
