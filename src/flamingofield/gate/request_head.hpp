#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace flamingofield {

/// The end of the head has not arrived yet.
struct head_incomplete
{
};
/// The head is complete and well-formed.
struct head_complete
{
    std::size_t length = 0; ///< In bytes, with the empty line.
    bool lacksLength = false; ///< The method usually has a body, but no length is declared; the body is empty.
};
/// The request is refused before any of it is interpreted.
struct head_refused
{
    int status = 400;
    std::string reason;
};

using head_inspection = std::variant<head_incomplete, head_complete, head_refused>;

constexpr std::size_t maxHeadBytes = 16U << 10U;
constexpr std::size_t maxTargetBytes = 2048;

/// Inspects the start of a connection's unread bytes.
///
/// Refuses heads that HTTP parsers interpret differently (two lengths, a length with a transfer coding), to prevent
/// request smuggling.
head_inspection inspectHead(std::string_view bytes);

} // namespace flamingofield
