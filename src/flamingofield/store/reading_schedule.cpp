#include "store/reading_schedule.hpp"

#include <algorithm>

namespace flamingofield {

bool reading_schedule::isDue(std::size_t rank, duration age, instant now) const
{
    if (m_isRunning || now < m_notBefore) {
        return false;
    }
    if (rank == 0) {
        return now - m_startedAt >= m_pace.readerInterval || m_failures > 0;
    }
    // Ranks beyond the first few wait alike, so that the whole fleet is not late when many readers are cut off.
    constexpr std::size_t staggeredRanks = 4;
    return age >= m_pace.staleAfter + m_pace.rankDelay * static_cast<int>(std::min(rank, staggeredRanks));
}

void reading_schedule::started(instant now)
{
    m_isRunning = true;
    m_startedAt = now;
}

void reading_schedule::succeeded(instant now)
{
    m_isRunning = false;
    m_failures = 0;
    m_notBefore = now;
}

void reading_schedule::failed(instant now)
{
    constexpr int mostDoublings = 4;
    m_isRunning = false;
    m_failures = std::min(m_failures + 1, mostDoublings);
    const auto pause = std::min(m_pace.lastRetry, m_pace.firstRetry * (1 << (m_failures - 1)));
    m_notBefore = now + pause;
}

} // namespace flamingofield
