#include "edge/stop_sequence.hpp"

namespace flamingofield {

namespace {

/// Time for which the node still accepts requests: callers use cached addresses until these expire after some seconds.
constexpr milliseconds acceptDuration{2200};
/// Part of the grace period that is reserved for the final answers to reach the callers.
constexpr milliseconds finalAnswerReserve{450};
/// Time for the last answers to be written to the sockets.
constexpr milliseconds flushDuration{150};

} // namespace

stop_step stop_sequence::next(duration grace, std::size_t pending, instant now)
{
    if (!m_isRunning) {
        return stop_step::none;
    }
    if (!m_isRefusingNew && since(now) >= acceptDuration) {
        m_isRefusingNew = true;
        m_answeredAt = now;
        return stop_step::refuseNew;
    }
    if (!m_hasAbandoned && since(now) >= grace - finalAnswerReserve) {
        m_hasAbandoned = true;
        m_answeredAt = now;
        return stop_step::abandon;
    }
    if (!m_isRefusingNew || (pending > 0 && !m_hasAbandoned)) {
        m_answeredAt = now;
        return stop_step::none;
    }
    return now - m_answeredAt >= flushDuration ? stop_step::end : stop_step::none;
}

} // namespace flamingofield
