#pragma once

#include "config/config_stamp.hpp"

#include <cstdint>

namespace flamingofield {

/// What to do with a configuration that the store or a peer offers.
enum class config_decision {
    accept, ///< A higher version than the active one.
    replaceConflicting, ///< The active version with different content and a later store revision.
    same, ///< The active version and content.
    stale, ///< A lower version than the active one.
    conflict ///< The active version with different content and no later store revision.
};

/// Identifies a configuration.
struct config_identity
{
    config_stamp stamp;
    std::uint64_t hash = 0; ///< Of the text.
};

/// Decides about a candidate by version, then by store revision. A node never returns to an older configuration, and nodes
/// that can reach each other converge on the same one in whatever order they receive them.
config_decision decideOffer(const config_identity &active, const config_identity &candidate);

} // namespace flamingofield
