#pragma once

#include "balance/health_filter.hpp"
#include "discovery/target_snapshot.hpp"

#include <cstdint>

namespace flamingofield {

/// Load that a target reported about itself.
struct load_report
{
    int running = 0;
    int waiting = 0;
    instant at{};
};

/// What a node has seen of a target since it knows it; cumulative, so that lost messages to other nodes do no harm.
struct target_counts
{
    std::uint32_t goodAnswers = 0;
    std::uint32_t badAnswers = 0;
    std::uint32_t suspicions = 0; ///< Overdue and reset requests.
    std::uint32_t disturbances = 0; ///< Times that disturbedAt was set.
    std::uint32_t sent = 0; ///< Requests.
    std::uint32_t replacements = 0; ///< Times that another process answered at its address.
};

/// One backend server with all that this node believes of it.
struct target_row
{
    target_entry entry;
    std::uint64_t key = 0; ///< Hash of id and incarnation; names the target in messages between nodes.
    bool isPresent = true; ///< In the newest snapshot; absent rows stay until their requests have ended.
    instant coldUntil{};
    instant restUntil{}; ///< No new request before this time, as after it shed one.
    instant disturbedAt{}; ///< Last broken, unsound or very slow exchange of this node; failure answers are no disturbance.
    instant disturbedElsewhereAt{}; ///< The same of other nodes, as they tell.
    instant usedAt{}; ///< Last time that any node is known to have sent it a request.
    instant trialDueAt{}; ///< Since when this node finds that some node must try it; the origin if none must.
    int own = 0; ///< Requests of this node at the target.
    load_report load;
    health_filter health; ///< From answers, own and told.
    health_filter path; ///< From connections of this node alone.
    slowness_filter slowness;
    target_counts counts; ///< Of this node.
    instant toldAt{}; ///< Last change of what is told.
};

} // namespace flamingofield
