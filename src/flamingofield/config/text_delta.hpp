#pragma once

#include "core/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace flamingofield {

/// A piece of a text: a part of the base text, or new bytes.
struct delta_piece
{
    std::int32_t basePart = -1; ///< Index of a part of the base, or -1 for bytes.
    std::string bytes;
};

/// A text as a sequence of parts of a base text and new bytes.
struct text_delta
{
    std::vector<delta_piece> pieces;
};

/// Cuts a text into parts at line starts that depend on the content only, so that an edit changes few parts.
std::vector<std::string_view> splitParts(std::string_view text);

/// Hash of each part of a text.
std::vector<std::uint64_t> partHashes(std::string_view text);

/// Delta from a base text to a text. Only the hashes of the base's parts are needed; without any the delta is the complete text.
text_delta makeDelta(std::string_view text, const std::vector<std::uint64_t> &baseHashes);

/// Rebuilds a text from its delta.
/// @return the text, or an error of step "apply delta" if the base lacks a part
result<std::string> applyDelta(const text_delta &delta, std::string_view base);

} // namespace flamingofield
