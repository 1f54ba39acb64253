#include "edge/descriptor_shares.hpp"

#include <algorithm>

namespace flamingofield {

descriptor_shares::descriptor_shares(std::size_t fileDescriptors)
    : clients(std::max<std::size_t>(1, fileDescriptors * 5 / 8))
    , directory(std::max<std::size_t>(1, fileDescriptors / 16))
    , peers(directory)
    , readiness(std::max<std::size_t>(1, fileDescriptors / 64))
    , metrics(readiness)
{
}

} // namespace flamingofield
