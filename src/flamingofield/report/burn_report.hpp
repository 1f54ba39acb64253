#pragma once

#include "report/latency_histogram.hpp"
#include "report/service_metrics.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace flamingofield {

/// One line of the report: a service and a rank over all nodes that answered.
struct burn_row
{
    std::string service;
    std::string rank;
    double objective = 0.0;
    double worth = 0.0;
    objective_count shortWindow; ///< Five minutes.
    objective_count longWindow; ///< One hour.
    std::map<std::string, std::uint64_t> ends; ///< By request_end.
    latency_histogram latency;
};

/// Service-level burn of the fleet.
struct burn_report
{
    std::vector<burn_row> rows;
    std::vector<std::string> answered; ///< Nodes by address.
    std::vector<std::string> missing;
};

/// Share of the error budget spent per share of time: 1 spends it exactly by the end of the objective's period.
double burnRate(const objective_count &window, double objective);

/// Adds the status page of one node.
/// @return false if the page could not be read
bool addStatus(burn_report &report, std::string_view statusJson);

/// As a table for a terminal.
std::string toTable(const burn_report &report);

/// As JSON.
std::string toJson(const burn_report &report);

/// As one HTML page with plots that needs no network.
std::string toHtml(const burn_report &report);

} // namespace flamingofield
