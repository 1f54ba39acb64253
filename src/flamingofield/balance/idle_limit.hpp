#pragma once

#include "core/time.hpp"

namespace flamingofield {

/// Longest idle time after which a connection to the targets of one service is reused. Targets may drop idle connections
/// without notice; the next request on such a connection is lost, and a non-idempotent request then fails.
///
/// A single dropped connection may have any cause; a second one soon after it lowers the limit below the idle times of both.
/// Without further drops the limit doubles at a fixed rate, because setting up connections loads the targets.
class idle_limit
{
public:
    /// Records that a reused connection turned out to have been dropped.
    /// @param idleTime how long it had been idle
    void recordDrop(duration idleTime, instant now);

    /// Longest idle time after which a connection may be reused.
    /// @param defaultLimit limit while no connections are dropped; upper bound of the result
    duration maxIdleTime(duration defaultLimit, instant now) const;

private:
    /// Time in which the limit doubles; targets that drop idle connections do so for several seconds.
    static constexpr milliseconds doublingTime{2000};
    /// Two drops within this time are taken to have the same cause.
    static constexpr milliseconds sameCauseWindow{1000};
    /// New limit as a share of the shorter idle time of the two dropped connections.
    static constexpr double limitFactor = 0.8;

    duration m_lastDropIdleTime{}; ///< Of the connection that was dropped last.
    instant m_lastDropAt{};
    duration m_limit{};
    instant m_limitSetAt{};
};

} // namespace flamingofield
