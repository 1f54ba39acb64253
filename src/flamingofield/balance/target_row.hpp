#pragma once

#include "balance/health_filter.hpp"
#include "discovery/target_snapshot.hpp"

#include <cstdint>

namespace flamingofield {

/// Share of an unhealthy target's requests that fail.
constexpr double unhealthyFailureShare = 0.75;
/// Newly started targets run at about half speed during their warm-up.
constexpr double warmUpSlowness = 2.0;

/// Load that a target reported about itself.
struct load_report
{
    int running = 0;
    int waiting = 0;
    instant at{};
};

/// A node's counts for one target since it first saw it. They are cumulative, so that a lost message to another node loses no
/// counts.
struct target_counts
{
    std::uint32_t successes = 0;
    std::uint32_t failures = 0;
    std::uint32_t overdueOrResetRequests = 0; ///< Requests that were overdue or reset.
    std::uint32_t impairments = 0; ///< Times that impairedAt was set.
    std::uint32_t requestsSent = 0; ///< Requests sent to the target.
    std::uint32_t replacements = 0; ///< Times that another process answered at the target's address.
};

/// One backend server with its state as known to this node.
struct target_row
{
    target_entry entry;
    std::uint64_t key = 0; ///< Hash of id and incarnation; identifies the target in messages between nodes.
    bool isLeaving = false; ///< It said in an answer, to this node or a peer, that it is leaving; the registry may not know yet.
    bool isPresent = true; ///< Listed in the newest snapshot; other rows stay until their requests have ended.
    instant listedAt{}; ///< Last snapshot that listed it.
    instant warmUpUntil{};
    instant backoffUntil{}; ///< No new requests before this time, for example after the target shed one.
    instant closedUntil{}; ///< End of the time for which the target asked this node for no requests; part of backoffUntil.
    /// Last exchange of this node that was broken, reset, invalid or cancelled after a long time, that another process answered, or that
    /// showed the target to be slow; error answers are no impairment.
    instant impairedAt{};
    instant impairedAtPeersAt{}; ///< The same for exchanges of other nodes, when their reports arrived.
    instant lastErrorAt{}; ///< Last error answer to this node, or the arrival of a peer's report of one.
    instant lastUsedAt{}; ///< Last time that any node is known to have sent it a request.
    instant trialDueSince{}; ///< Time since when a trial request to the target has been due; instant{} if none is.
    int ownInFlight = 0; ///< Requests of this node at the target.
    int peersInFlight = 0; ///< Requests of the other nodes at the target, as of their last reports.
    load_report load;
    health_filter health; ///< From answers to this node and to its peers.
    health_filter path; ///< Health of the network path, from this node's connections only.
    slowness_filter slowness;
    target_counts counts; ///< Of this node.
    instant reportChangedAt{}; ///< Last change of the counts that are reported to peers.
};

} // namespace flamingofield
