#pragma once

#include "accounts/usage_peers.hpp"
#include "mesh/node_address.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace flamingofield {

/// One datagram about the usage of client accounts.
struct usage_message
{
    node_address sender = 0;
    std::uint64_t incarnation = 0;
    usage_sender state;
    std::vector<account_usage> usages;

    /// Keeps a datagram within the usual size of a packet, so that the loss of one fragment does not lose the others.
    static constexpr std::size_t maxUsages = 80;
};

/// True if a datagram is a usage message, of any release.
bool isUsageMessage(std::string_view bytes);

/// Encodes a message: a marker byte, which no MessagePack document begins with, and a MessagePack array.
std::string encode(const usage_message &message);

/// @return the message, or an error of step "decode usage message" with the number of bytes as its peer
result<usage_message> decodeUsageMessage(std::string_view bytes);

} // namespace flamingofield
