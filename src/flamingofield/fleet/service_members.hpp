#pragma once

#include "config/operator_config.hpp"
#include "fleet/node_info.hpp"

#include <vector>

namespace flamingofield {

/// Number of members that a service should have in each data centre.
int membersPerDataCentre(const service_spec &service, int dataCentres);

/// Members of a service by rendezvous hashing within each data centre; the same at every node that knows the same live nodes.
/// @param nodes live nodes, this one among them
/// @return incarnations, ordered by address
std::vector<std::uint64_t> chooseMembers(const service_spec &service, const std::vector<node_info> &nodes);

} // namespace flamingofield
