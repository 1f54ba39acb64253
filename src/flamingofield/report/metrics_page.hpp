#pragma once

#include "gate/connection_server.hpp"
#include "report/counters.hpp"
#include "report/service_metrics.hpp"

#include <string>

namespace flamingofield {

/// Values that the metrics page reads when it is requested.
struct metrics_gauges
{
    connection_counts connections;
    std::size_t outcomes = 0; ///< Recorded outcomes of at-most-once requests.
};

/// Encodes all metrics in the Prometheus text exposition format.
std::string encodeMetricsPage(const service_metrics &services, const counter_table &counters, const metrics_gauges &gauges);

} // namespace flamingofield
