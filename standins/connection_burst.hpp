#pragma once

#include "core/endpoint.hpp"
#include "core/time.hpp"

#include <cstddef>
#include <vector>

namespace standins {

/// Opens connections to an address, all at once, and closes them again.
/// @param timeout time after which connections that are not established yet are given up
/// @return for each established connection, the time from the start of the burst until it was established, in order of establishment
std::vector<flamingofield::duration> openConnectionBurst(const flamingofield::endpoint &address, std::size_t count,
                                                         flamingofield::milliseconds timeout);

} // namespace standins
