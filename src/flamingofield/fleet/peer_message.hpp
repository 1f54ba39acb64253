#pragma once

#include "config/config_stamp.hpp"
#include "config/text_delta.hpp"
#include "core/error.hpp"
#include "fleet/node_info.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace flamingofield {

/// Asks for an acknowledgement.
struct heartbeat
{
    std::uint64_t sequence = 0;
    bool wantsMembers = false; ///< The sender knows few nodes or another set.
};

/// Answers a heartbeat.
struct heartbeat_ack
{
    std::uint64_t sequence = 0;
};

/// Asks a node to send a heartbeat to another on the sender's behalf.
struct indirect_heartbeat
{
    std::uint64_t sequence = 0;
    std::uint64_t target = 0; ///< Incarnation.
};

/// Passes on records only.
struct member_list
{
};

/// Asks for the newest text.
struct config_request
{
    config_stamp base; ///< Text that the sender holds, so that a delta suffices.
};

/// A text or the difference to the base of the request.
struct config_reply
{
    config_stamp stamp;
    config_stamp base; ///< Version 0 means that the delta stands alone.
    text_delta delta;
    std::uint64_t hash = 0; ///< Of the whole text.
};

/// Evidence about one target as passed between members.
struct wire_evidence
{
    std::uint64_t target = 0; ///< Hash of the address.
    float score = 0.0F;
    float bad = 0.0F; ///< Decayed counts of the last few seconds.
    float total = 0.0F;
    bool isWarming = false;
};

/// What a member tells the other members of a service.
struct service_report
{
    std::uint64_t service = 0; ///< Hash of the name.
    std::vector<float> demand; ///< Slots that it could use, by rank.
    std::vector<wire_evidence> evidence;
    std::vector<std::uint64_t> leaving; ///< Hashes of the addresses of targets that are draining.
};

using message_body = std::variant<heartbeat, heartbeat_ack, indirect_heartbeat, member_list, config_request, config_reply, service_report>;

/// One message between entry VMs.
struct peer_message
{
    node_record sender;
    config_stamp config; ///< In force at the sender.
    std::uint64_t digest = 0; ///< Of the set of nodes that the sender knows as live.
    std::vector<node_record> records; ///< Piggybacked.
    message_body body;
};

constexpr std::size_t maximumMessageBytes = 2U << 20U;
constexpr int messageFormat = 1;

/// Encodes a message with msgpack; with a secret, a truncated HMAC-SHA256 follows it.
std::string encodeMessage(const peer_message &message, std::string_view secret);

/// Decodes a message. Unknown fields are skipped, so that newer senders are understood as far as possible.
/// @return the message, or an error of step "decode" with the given peer
result<peer_message> decodeMessage(std::string_view bytes, std::string_view secret, std::string_view peer);

} // namespace flamingofield
