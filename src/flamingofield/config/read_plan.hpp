#pragma once

#include "core/time.hpp"

#include <cstdint>

namespace flamingofield {

/// Role of a node in reading the store.
enum class read_role {
    starting, ///< Does not serve yet and knows too few nodes to determine whether it is a reader.
    reader, ///< One of the few nodes of its data centre that watch the store.
    other ///< Gets changes from peers and reads the store rarely.
};

/// How often one node may read the configuration store.
struct read_plan
{
    bool mayWatch = false; ///< Reads may wait at the store for a change.
    duration interval{}; ///< Between the end of a read and the next.
};

/// Plans reads so that the whole fleet stays far below the store's limit at any size.
/// @param fleetSize nodes that this node knows, itself among them
/// @param failures consecutive reads that failed or were refused
/// @param seed for jitter
read_plan planReads(std::size_t fleetSize, read_role role, int failures, std::uint64_t seed);

/// Delay of a new process's first read, so that a restart of the whole fleet does not overload the store.
duration firstReadDelay(std::size_t expectedFleetSize, std::uint64_t seed);

} // namespace flamingofield
