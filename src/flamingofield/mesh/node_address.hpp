#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace flamingofield {

/// IPv4 address in host byte order; identifies a node of the fleet.
using node_address = std::uint32_t;

/// @return the address, or zero if the text is not an IPv4 address
node_address toNodeAddress(const std::string &text);

/// Converts each text as toNodeAddress() does.
std::vector<node_address> toNodeAddresses(const std::vector<std::string> &texts);

std::string toText(node_address address);

} // namespace flamingofield
