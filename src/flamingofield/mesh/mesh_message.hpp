#pragma once

#include "balance/fleet_retry_budget.hpp"
#include "balance/outcome_window.hpp"
#include "balance/target_table.hpp"
#include "core/error.hpp"
#include "mesh/node_address.hpp"
#include "route/forwarding_config.hpp"
#include "store/confirmation.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingofield {

/// A node as described in messages between nodes.
struct mesh_member
{
    node_address address = 0;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    bool isReady = false;
    std::uint32_t capacityMillicores = millicoresPerCore; ///< CPU capacity, in thousandths of a core.
    std::uint32_t ageMs = 0; ///< Time since the member's last message to the sender or to the peer that listed it.
    std::uint32_t localHubs = 0; ///< Number of hubs that its data centre needs; zero unless the member is a hub itself.
    std::uint32_t localNodes = 0; ///< Number of live nodes of its data centre; zero unless the member is a hub itself.

    static constexpr std::uint32_t millicoresPerCore = 1000;
};

/// Versions and ages of a node's copy of the shared state.
struct fleet_state_summary
{
    config_stamp config;
    std::uint32_t configBytes = 0; ///< Length of the configuration's document.
    store_position targets; ///< Of the list that the registry gave.
    std::uint64_t targetsDigest = 0; ///< Of the targets that the registry lists.
    std::uint32_t targetsAgeMs = unknownAge; ///< Time since a reader confirmed the targets at the registry.
    std::uint32_t configAgeMs = unknownAge; ///< Time since a reader confirmed the configuration at the store.
    confirmation_id targetsConfirmation; ///< The one whose age is told.
    confirmation_id configConfirmation; ///< The one whose age is told.
    // The sender's contact_period of the registry, as times that have passed since. It ends with the confirmation of the targets.
    std::uint32_t contactStartMs = unknownAge; ///< Since its start.
    std::uint32_t outageStartMs = unknownAge; ///< Since the start of the outage before it; set only while renewals are awaited.
    std::uint32_t missingTargets = 0; ///< Number of targets that the sender uses although the registry does not list them.
    /// Since the registry came back from an earlier copy; set only while it may list departed targets.
    std::uint32_t returnMs = unknownAge;
    std::uint32_t departedTargets = 0; ///< Number of targets that the sender does not use although the registry lists them.
    /// Of the configuration's document, equal on all nodes that have the same one; zero if the sender has none or does not tell it.
    std::uint64_t configDigest = 0;

    static constexpr std::uint32_t unknownAge = 0xffffffffU;
};

/// Request counts of one node for one service.
struct mesh_service
{
    std::string service;
    retry_counts retryCounts; ///< Counts within the window of the retry budget.
    recent_outcomes outcomes;
};

/// One datagram between nodes.
struct mesh_message
{
    mesh_member sender;
    bool isLeaving = false;
    /// The sender does not know whether the recipient sends to it; a recipient that does not answers with its state and a member list.
    bool wantsReply = false;
    fleet_state_summary fleetState;
    std::vector<mesh_member> members;
    /// True if targets holds only some of the sender's targets; what it reported about the others still applies.
    bool isPartialReport = false;
    std::vector<target_report> targets;
    std::vector<mesh_service> services;
    std::string healthEstimates; ///< From hubs only: the sender's health estimate of each target, see target_table::healthEstimates().
    /// True if targets holds all changes since the sender's last messages, so that what it reported before stays valid. Unset in other
    /// partial reports: error answers that are reported at once, and messages without reports. A full report needs no mark.
    bool renewsReport = false;
};

/// Encodes a message as MessagePack.
std::string encode(const mesh_message &message);

/// @return the message, or an error of step "decode peer message" with the number of bytes as its peer
result<mesh_message> decodeMeshMessage(std::string_view bytes);

/// Targets of a node as a peer fetches them.
struct fetched_targets
{
    target_document document;
    /// The node's state at that time; unset if it is of an earlier release, whose document has no missing targets either.
    std::optional<fleet_state_summary> fleetState;
};

/// Encodes the known targets as MessagePack, for nodes that fetch them from a peer.
std::string encode(const fetched_targets &targets);

/// @return the targets, or an error of step "decode peer message"
result<fetched_targets> decodeFetchedTargets(std::string_view bytes);

} // namespace flamingofield
