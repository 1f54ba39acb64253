#pragma once

#include <cstdint>
#include <tuple>

namespace flamingofield {

/// Place in the history of a store. A store that comes back from an earlier copy gives the revisions behind that copy out again, in the
/// next era; they are later than all revisions of the eras before.
struct store_position
{
    std::uint64_t era = 0; ///< Zero if the store or the peer that tells the position does not tell it.
    std::uint64_t revision = 0;

    bool operator<(const store_position &other) const
    {
        return std::tie(era, revision) < std::tie(other.era, other.revision);
    }
};

} // namespace flamingofield
