#pragma once

#include "core/time.hpp"

namespace flamingofield {

/// How long a connection to the targets of one service may have been idle to be used again. Targets may drop idle
/// connections without notice; what is sent next on one of them is lost, and work that must not repeat fails with it.
///
/// One loss may have any cause; a second one soon after it lowers the limit below the idle times of both. Without further
/// losses the limit doubles at a fixed pace, since new connections cost their targets work. No network, no clock.
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
    static constexpr milliseconds doublingTime{2000};
    /// Two losses within this time have one cause.
    static constexpr milliseconds sameCause{1000};
    /// Part of the shortest idle time of a lost connection that is still allowed.
    static constexpr double keptShare = 0.8;

    duration m_lastIdle{}; ///< Of the connection that was lost last.
    instant m_lostAt{};
    duration m_limit{};
    instant m_limitedAt{};
};

} // namespace flamingofield
