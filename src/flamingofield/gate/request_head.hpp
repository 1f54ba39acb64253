#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace flamingofield {

/// More bytes are needed before the request can be handed on.
struct head_incomplete
{
};
/// The head is complete and sound.
struct head_complete
{
    std::size_t length = 0; ///< Bytes up to and with the empty line.
    bool lacksLength = false; ///< A method with a body that declares none; the body is empty.
};
/// The request is refused before any of it is interpreted.
struct head_refused
{
    int status = 400;
    std::string reason;
};

using head_inspection = std::variant<head_incomplete, head_complete, head_refused>;

constexpr std::size_t maximumHeadBytes = 16U << 10U;
constexpr std::size_t maximumTargetBytes = 2048;

/// Inspects the start of a connection's unread bytes.
///
/// Refuses what HTTP parsers disagree about (two lengths, a length with a transfer coding), so that a request cannot
/// be split in two on its way.
head_inspection inspectHead(std::string_view bytes);

} // namespace flamingofield
