#pragma once

#include <chrono>

namespace flamingofield {

/// Monotonic time. Decision logic takes it as an argument and does not read the clock itself.
using instant = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Whole milliseconds in a duration, rounded towards zero.
constexpr long long toMilliseconds(duration d)
{
    return std::chrono::duration_cast<milliseconds>(d).count();
}

/// Seconds in a duration as a floating point number.
constexpr double toSeconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace flamingofield
