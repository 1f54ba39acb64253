#pragma once

#include "config/config_stamp.hpp"

#include <cstdint>

namespace flamingofield {

/// What to do with a text that was offered by the store or by a peer.
enum class text_decision {
    accept, ///< Newer than the one in force.
    acceptOverConflict, ///< The same version with another text and a later store revision.
    same, ///< The one in force.
    stale, ///< Older than the one in force.
    conflict ///< The same version with another text that is not later.
};

/// Identity of a text.
struct text_identity
{
    config_stamp stamp;
    std::uint64_t hash = 0;
};

/// Orders texts by version, then by store revision, so that the text in force only ever rises and all nodes that can
/// hear each other end with the same one, whatever order they saw.
text_decision decideText(const text_identity &held, const text_identity &offered);

} // namespace flamingofield
