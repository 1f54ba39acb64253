#pragma once

#include "core/time.hpp"

#include <optional>
#include <string_view>

namespace flamingofield {

/// Longest time for which a backend server can keep requests away with Retry-After; larger values are limited to it.
constexpr seconds maxRetryAfterOfTarget{300};

/// Parses the value of a Retry-After field: seconds, with or without a fraction (RFC 9110 has whole seconds only).
/// @return the time, at most maxRetryAfterOfTarget; nothing for a date, a negative number or anything else
std::optional<duration> parseRetryAfter(std::string_view text);

} // namespace flamingofield
