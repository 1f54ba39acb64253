#include "edge/directory.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

/// With fewer hubs in the caller's data centre the answer also lists hubs of other data centres.
constexpr std::size_t minLocalHubs = 2;
/// Callers try only a few addresses, so longer answers would have no use.
constexpr std::size_t maxAddresses = 64;

} // namespace

std::vector<endpoint> directoryAddresses(const std::vector<mesh_member> &hubs, std::string_view dataCentre, std::uint16_t port)
{
    std::vector<endpoint> addresses;
    std::vector<endpoint> remoteAddresses;
    for (const auto &hub : hubs) {
        (hub.dataCentre == dataCentre ? addresses : remoteAddresses).push_back({toText(hub.address), port});
    }
    if (addresses.size() < minLocalHubs) {
        addresses.insert(addresses.end(), remoteAddresses.begin(), remoteAddresses.end());
    }
    addresses.resize(std::min(addresses.size(), maxAddresses));
    return addresses;
}

} // namespace flamingofield
