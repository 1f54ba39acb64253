#pragma once

#include "core/time.hpp"

#include <cstdint>

namespace flamingofield {

/// What a node reads the store for.
enum class read_role {
    starting, ///< Does not serve yet and knows few nodes, so it cannot tell whether it is a reader.
    reader, ///< One of the data centre's few that watch.
    other
};

/// How often one node may read the configuration store.
struct read_plan
{
    bool mayWatch = false; ///< Hold a waiting watch instead of single reads.
    duration interval{}; ///< Between the end of a read and the next.
};

/// Plans reads so that the whole fleet stays far below the store's limit at any size.
/// @param fleetSize nodes that this node sees, itself among them
/// @param failures reads in a row that failed or were refused
/// @param seed for jitter
read_plan planReads(std::size_t fleetSize, read_role role, int failures, std::uint64_t seed);

/// Delay of a new process's first read, which spreads a restart of the whole fleet.
duration firstReadDelay(std::size_t expectedFleetSize, std::uint64_t seed);

} // namespace flamingofield
