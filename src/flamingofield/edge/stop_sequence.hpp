#pragma once

#include "core/time.hpp"

#include <cstddef>

namespace flamingofield {

/// What a node must do next in a planned stop.
enum class stop_step {
    none,
    refuseNew, ///< Close the listener and refuse what still arrives.
    abandon, ///< Give each request that is left its final answer.
    end, ///< The process is done.
};

/// Order and times of a planned stop: callers find out, requests in flight end, the last answers leave. No clock.
class stop_sequence
{
public:
    void begin(instant now)
    {
        m_isRunning = true;
        m_beganAt = now;
    }

    bool isRunning() const
    {
        return m_isRunning;
    }

    /// @param grace time in which the process must have ended
    /// @param pending requests without an answer
    stop_step next(duration grace, std::size_t pending, instant now);

    duration since(instant now) const
    {
        return now - m_beganAt;
    }

private:
    bool m_isRunning = false;
    bool m_refusesNew = false;
    bool m_hasAbandoned = false;
    instant m_beganAt{};
    instant m_answeredAt{}; ///< When the last request had its answer.
};

} // namespace flamingofield
