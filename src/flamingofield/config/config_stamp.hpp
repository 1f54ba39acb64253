#pragma once

#include <cstdint>
#include <tuple>

namespace flamingofield {

/// Version of a configuration and its place in the store; ordered by version, then by that place.
///
/// The version goes first since only the operator counts it: a store that comes back from a copy gives revisions out again, each time in a
/// later era.
struct config_stamp
{
    std::uint64_t version = 0;
    std::uint64_t revision = 0;
    std::uint64_t era = 0; ///< Number of the store's history that the revision belongs to; zero if the store tells none.

    bool operator<(const config_stamp &other) const
    {
        return std::tie(version, era, revision) < std::tie(other.version, other.era, other.revision);
    }
    bool operator==(const config_stamp &other) const
    {
        return std::tie(version, era, revision) == std::tie(other.version, other.era, other.revision);
    }
};

} // namespace flamingofield
