#include "edge/stop_sequence.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

/// Time for which the node still accepts requests: callers use cached addresses until these expire after some seconds.
constexpr milliseconds acceptDuration{2200};
/// Part of the grace period that is reserved for the final answers to reach the callers.
constexpr milliseconds finalAnswerReserve{450};
/// Time for the last packets to leave.
constexpr milliseconds flushDuration{150};
/// Part of the grace period that is left for the end of the process.
constexpr milliseconds endReserve{100};

/// Requests that are accepted late need time to complete, also in a short grace period.
duration acceptDurationIn(duration grace)
{
    return std::min<duration>(acceptDuration, (grace - finalAnswerReserve) / 2);
}

} // namespace

stop_step stop_sequence::next(duration grace, std::size_t unfinished, instant now)
{
    if (!m_isRunning) {
        return stop_step::none;
    }
    if (!m_isRefusingNew && since(now) >= acceptDurationIn(grace)) {
        m_isRefusingNew = true;
        m_finishedAt = now;
        return stop_step::refuseNew;
    }
    if (!m_hasAbandoned && since(now) >= grace - finalAnswerReserve) {
        m_hasAbandoned = true;
        m_finishedAt = now;
        return stop_step::abandon;
    }
    if (!m_isRefusingNew) {
        return stop_step::none;
    }
    if (unfinished > 0 && since(now) < grace - endReserve) {
        m_finishedAt = now;
        return stop_step::none;
    }
    return unfinished > 0 || now - m_finishedAt >= flushDuration ? stop_step::end : stop_step::none;
}

} // namespace flamingofield
