#pragma once

#include "soak/soak_record.hpp"
#include "standins/platform_fleet.hpp"

#include <string>
#include <vector>

namespace soak {

/// Version of the configuration that the fleet starts with.
constexpr int firstVersion = 1;
/// Time that callers give each request.
constexpr std::chrono::milliseconds callerDeadline{3000};

/// Path of the route that a configuration adds.
std::string pathOfVersion(int version);

/// Checks what the platform's pages promise, from what callers and backend servers saw.
/// @return one line for each broken promise, empty if all hold
std::vector<std::string> brokenPromises(const run_record &run, const disturbance_log &disturbances,
                                        const platform_standins::platform_fleet &fleet);

} // namespace soak
