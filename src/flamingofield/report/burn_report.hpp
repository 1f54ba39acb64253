#pragma once

#include "report/latency_histogram.hpp"
#include "report/service_metrics.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace flamingofield {

/// One row of the report: a service and a rank, summed over all nodes that answered.
struct burn_row
{
    std::string service;
    std::string rank;
    double objective = 0.0;
    double reportWeight = 0.0;
    objective_count shortWindow; ///< Five minutes.
    objective_count longWindow; ///< One hour.
    std::map<std::string, std::uint64_t> ends; ///< Counts by name of request_end.
    latency_histogram latency;
};

/// Burn rates of the fleet's error budgets.
struct burn_report
{
    std::vector<burn_row> rows;
    std::vector<std::string> answered; ///< Admin addresses of nodes whose status page was read.
    std::vector<std::string> missing; ///< Admin addresses of the other nodes.
};

/// Rate at which the error budget is consumed; at 1 it lasts exactly for the objective's period.
double burnRate(const objective_count &window, double objective);

/// Adds the status page of one node.
/// @return false if the page could not be parsed
bool addStatus(burn_report &report, std::string_view statusJson);

/// As a table for a terminal.
std::string toTable(const burn_report &report);

/// As JSON.
std::string toJson(const burn_report &report);

/// As one self-contained HTML page with plots.
std::string toHtml(const burn_report &report);

} // namespace flamingofield
