#pragma once

#include <cstdint>

namespace flamingofield {

/// Version and store revision of a configuration; ordered by version, then by revision.
struct config_stamp
{
    std::uint64_t version = 0;
    std::uint64_t revision = 0;

    bool operator<(const config_stamp &other) const
    {
        return version != other.version ? version < other.version : revision < other.revision;
    }
    bool operator==(const config_stamp &other) const
    {
        return version == other.version && revision == other.revision;
    }
};

} // namespace flamingofield
