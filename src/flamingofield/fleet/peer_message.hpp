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
    bool wantsAllRecords = false; ///< Of the recipient, because the sender knows no live node at its address.
};

/// Answers a heartbeat.
struct heartbeat_ack
{
    std::uint64_t sequence = 0;
};

/// Asks a node to relay a heartbeat to a target.
struct indirect_heartbeat
{
    std::uint64_t sequence = 0;
    std::uint64_t target = 0; ///< Incarnation.
};

/// Has no body: the message carries only records, the sender's stamp and its digest.
struct membership_update
{
};

/// Asks for the recipient's configuration if it is newer.
struct config_request
{
    config_stamp base; ///< The sender's configuration, to which the reply may be a delta.
};

/// A configuration's text, complete or as a delta to the base of the request.
struct config_reply
{
    config_stamp stamp;
    config_stamp base; ///< Version 0 means that the delta is the complete text.
    text_delta delta;
    std::uint64_t hash = 0; ///< Of the complete text.
};

/// Evidence about one target as sent between members.
struct target_evidence
{
    std::uint64_t target = 0; ///< Hash of the address.
    float score = 0.0F;
    float bad = 0.0F; ///< Decayed counts of the last few seconds.
    float total = 0.0F;
    bool isWarming = false;
};

/// Report of a node to the members of a service.
struct service_report
{
    std::uint64_t service = 0; ///< Hash of the name.
    std::vector<float> demand; ///< Slots that it could use, by rank.
    std::vector<target_evidence> evidence;
    std::vector<std::uint64_t> leaving; ///< Hashes of the addresses of targets that are draining.
};

using message_body
    = std::variant<heartbeat, heartbeat_ack, indirect_heartbeat, membership_update, config_request, config_reply, service_report>;

/// One message between entry VMs.
struct peer_message
{
    node_record sender;
    config_stamp config; ///< Of the sender's active configuration.
    std::uint64_t digest = 0; ///< membership::digest() of the sender.
    std::vector<node_record> records; ///< Piggybacked.
    message_body body;
};

constexpr std::size_t maxMessageBytes = 2U << 20U;
constexpr int messageFormatVersion = 1;

/// Encodes a message with msgpack; with a secret, a truncated HMAC-SHA256 tag follows it.
std::string encodeMessage(const peer_message &message, std::string_view secret);

/// Decodes a message. Additional fields at the end of an array are ignored, so that later releases can add some.
/// @return the message, or an error of step "decode" with the given peer
result<peer_message> decodeMessage(std::string_view bytes, std::string_view secret, std::string_view peer);

} // namespace flamingofield
