#pragma once

#include "core/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace flamingofield {

/// A piece of a text: a part of the base, or bytes.
struct delta_piece
{
    std::int32_t basePart = -1; ///< Index of a part of the base, or -1 for bytes.
    std::string bytes;
};

/// A text as pieces of an older one and new bytes.
struct text_delta
{
    std::vector<delta_piece> pieces;
};

/// Cuts a text into parts at line starts that depend on the content only, so that an edit changes few parts.
std::vector<std::string_view> splitParts(std::string_view text);

/// Hash of each part of a text.
std::vector<std::uint64_t> partHashes(std::string_view text);

/// Difference of a text to a base of which the hashes are known; an empty base gives the whole text.
text_delta makeDelta(std::string_view text, const std::vector<std::uint64_t> &baseHashes);

/// Rebuilds the text.
/// @return the text, or an error of step "apply delta" where the base lacks a part
result<std::string> applyDelta(const text_delta &delta, std::string_view base);

} // namespace flamingofield
