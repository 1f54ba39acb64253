#include "edge/directory.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

/// With fewer hubs in the caller's data centre it is told those of others too.
constexpr std::size_t enoughNearHubs = 2;
/// Bounds the answer; callers try a few addresses at most.
constexpr std::size_t mostAddresses = 64;

} // namespace

std::vector<endpoint> directoryAddresses(const std::vector<mesh_member> &hubs, std::string_view dataCentre, std::uint16_t port)
{
    std::vector<endpoint> near;
    std::vector<endpoint> far;
    for (const auto &hub : hubs) {
        (hub.dataCentre == dataCentre ? near : far).push_back({toText(hub.address), port});
    }
    if (near.size() < enoughNearHubs) {
        near.insert(near.end(), far.begin(), far.end());
    }
    near.resize(std::min(near.size(), mostAddresses));
    return near;
}

} // namespace flamingofield
