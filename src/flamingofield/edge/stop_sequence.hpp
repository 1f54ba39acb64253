#pragma once

#include "core/time.hpp"

#include <cstddef>

namespace flamingofield {

/// Next action of a node in a planned stop.
enum class stop_step {
    none,
    refuseNew, ///< Close the listener and refuse what still arrives.
    abandon, ///< Send a final answer to each request still in flight.
    end, ///< Stop the event loop.
};

/// Steps and times of a planned stop: accept until callers' cached addresses have expired, complete requests in flight, send the
/// last answers, and end when their clients have them. Reads no clock.
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

    /// Returns the step that is due now. refuseNew and abandon are each returned at most once.
    /// @param grace time from begin() in which the process must end
    /// @param unfinished number of requests that have no answer or whose answer has not reached its client
    stop_step next(duration grace, std::size_t unfinished, instant now);

    duration since(instant now) const
    {
        return now - m_beganAt;
    }

private:
    bool m_isRunning = false;
    bool m_isRefusingNew = false;
    bool m_hasAbandoned = false;
    instant m_beganAt{};
    instant m_finishedAt{}; ///< Last time at which a request was unfinished; the flush period starts here.
};

} // namespace flamingofield
