#pragma once

#include "balance/outcome_window.hpp"
#include "balance/retry_ledger.hpp"
#include "balance/target_table.hpp"
#include "core/error.hpp"
#include "mesh/node_address.hpp"
#include "route/forwarding_config.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace flamingofield {

/// What one node says of another.
struct mesh_member
{
    node_address address = 0;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    bool isReady = false;
    std::uint32_t capacity = wholeCore; ///< Processor that the member has, in thousandths of a core.
    std::uint32_t ageMs = 0; ///< Since the sender, or whoever told it, heard the member.

    static constexpr std::uint32_t wholeCore = 1000;
};

/// What a node knows of the state that all nodes share, and how old that is.
struct mesh_knowledge
{
    config_stamp config;
    std::uint32_t configBytes = 0; ///< Length of the configuration's document.
    std::uint64_t targetsRevision = 0;
    std::uint64_t targetsDigest = 0;
    std::uint32_t targetsAgeMs = noAge; ///< Since a reader confirmed the targets at the registry.
    std::uint32_t configAgeMs = noAge; ///< Since a reader confirmed the configuration at the store.

    static constexpr std::uint32_t noAge = 0xffffffffU;
};

/// A node's requests for one service.
struct mesh_service
{
    std::string service;
    retry_counts retries; ///< Within the budget's window.
    recent_outcomes outcomes;
};

/// One datagram between nodes.
struct mesh_message
{
    mesh_member sender;
    bool isLeaving = false;
    bool wantsReply = false; ///< The sender knows hardly anybody and asks for members.
    mesh_knowledge knowledge;
    std::vector<mesh_member> members;
    std::vector<told_target> targets;
    std::vector<mesh_service> services;
    std::string beliefs; ///< From a hub to other nodes: its targets' sickness, see target_table::beliefs().
};

/// MessagePack bytes of a message.
std::string encode(const mesh_message &message);

/// @return the message, or an error of step "decode peer message"
result<mesh_message> decodeMeshMessage(std::string_view bytes);

/// MessagePack bytes of a target snapshot, for nodes that fetch it from a peer.
std::string encode(const target_snapshot &snapshot);
result<target_snapshot> decodeTargetSnapshot(std::string_view bytes);

} // namespace flamingofield
