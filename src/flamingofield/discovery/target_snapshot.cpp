#include "discovery/target_snapshot.hpp"

#include "core/hash.hpp"

namespace flamingofield {

std::uint64_t digestOf(const target_snapshot &snapshot)
{
    std::uint64_t digest = 0;
    for (const auto &target : snapshot.targets) {
        const std::string row = target.id + "|" + target.service + "|" + toString(target.address) + "|" + target.dataCentre + "|"
            + std::to_string(target.slots) + (target.isDraining ? "|draining|" : "|ready|") + std::to_string(target.startedAtMs);
        digest = hashOf(row, digest);
    }
    return digest;
}

} // namespace flamingofield
