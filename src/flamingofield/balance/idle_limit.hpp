#pragma once

#include "core/time.hpp"

namespace flamingofield {

/// How long a connection to the targets of one service may have been idle to be used again. Targets may drop idle
/// connections without notice; what is sent next on one of them is lost, and work that must not repeat fails with it.
///
/// A loss halves the limit below the idle time at which it happened; without further losses the limit doubles at a fixed
/// pace. No network, no clock.
class idle_limit
{
public:
    /// Notes that a connection turned out to be dropped.
    /// @param idleFor how long it had been idle
    void lost(duration idleFor, instant now);

    /// @param usual limit while no connection is lost
    duration longest(duration usual, instant now) const;

private:
    /// Time in which the limit doubles; targets that drop idle connections do so for several seconds.
    static constexpr milliseconds doublingTime{3000};

    duration m_limit{};
    instant m_lostAt{};
};

} // namespace flamingofield
