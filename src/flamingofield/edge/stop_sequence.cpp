#include "edge/stop_sequence.hpp"

namespace flamingofield {

namespace {

/// Callers keep addresses for some seconds and find out in this time that the node leaves.
constexpr milliseconds acceptAfterStop{2200};
/// Left of the grace period for the last answers to reach the callers.
constexpr milliseconds lastAnswers{450};
/// For answers to leave the process after the last request.
constexpr milliseconds flushTime{150};

} // namespace

stop_step stop_sequence::next(duration grace, std::size_t pending, instant now)
{
    if (!m_isRunning) {
        return stop_step::none;
    }
    if (!m_refusesNew && since(now) >= acceptAfterStop) {
        m_refusesNew = true;
        m_answeredAt = now;
        return stop_step::refuseNew;
    }
    if (!m_hasAbandoned && since(now) >= grace - lastAnswers) {
        m_hasAbandoned = true;
        m_answeredAt = now;
        return stop_step::abandon;
    }
    if (!m_refusesNew || (pending > 0 && !m_hasAbandoned)) {
        m_answeredAt = now;
        return stop_step::none;
    }
    return now - m_answeredAt >= flushTime ? stop_step::end : stop_step::none;
}

} // namespace flamingofield
