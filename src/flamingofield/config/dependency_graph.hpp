#pragma once

#include "config/operator_config.hpp"

#include <string>
#include <vector>

namespace flamingofield {

/// Finds dependency cycles with Tarjan's algorithm for strongly connected components.
/// @return the service names of each cycle; a service that depends on itself is a cycle of one
std::vector<std::vector<std::string>> findDependencyCycles(const std::vector<service_spec> &services);

} // namespace flamingofield
