#pragma once

#include "soak/soak_record.hpp"
#include "standins/platform_fleet.hpp"

#include <string>
#include <vector>

namespace soak {

/// Version of the configuration that the fleet starts with.
constexpr int firstVersion = 1;
/// Deadline that callers set on each request.
constexpr std::chrono::milliseconds callerDeadline{3000};

/// Path of the route that the configuration with this version adds.
std::string pathOfVersion(int version);

/// Checks a run against the platform's contract, from what callers and backend servers observed.
/// @return one line for each violation, empty without any
std::vector<std::string> contractViolations(const run_record &run, const disturbance_log &disturbances,
                                            const platform_standins::platform_fleet &fleet);

} // namespace soak
