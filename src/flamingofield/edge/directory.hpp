#pragma once

#include "core/endpoint.hpp"
#include "mesh/mesh_message.hpp"

#include <string_view>
#include <vector>

namespace flamingofield {

/// Addresses told to a caller: the hubs of its data centre, and those of others too while these are few.
/// @param hubs hubs that are ready for callers, in order
/// @param port on which hubs serve callers
std::vector<endpoint> directoryAddresses(const std::vector<mesh_member> &hubs, std::string_view dataCentre, std::uint16_t port);

} // namespace flamingofield
