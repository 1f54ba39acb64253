#pragma once

#include "core/endpoint.hpp"
#include "mesh/mesh_message.hpp"

#include <string_view>
#include <vector>

namespace flamingofield {

/// Addresses for a directory answer: the hubs of the caller's data centre, followed by hubs of other data centres if there are too few.
/// @param hubs hubs that are ready for callers, in order of preference
/// @param dataCentre the caller's
/// @param port on which hubs serve callers
std::vector<endpoint> directoryAddresses(const std::vector<mesh_member> &hubs, std::string_view dataCentre, std::uint16_t port);

} // namespace flamingofield
