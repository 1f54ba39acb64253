#include "store/reading_schedule.hpp"

#include <algorithm>
#include <cmath>

namespace flamingofield {

namespace {

/// Peers that know everything answer within this time.
constexpr milliseconds shortestFirstDelay{150};
/// Callers come some seconds after the first start; this leaves them for failed reads.
constexpr milliseconds longestFirstDelay{2050};

} // namespace

milliseconds reading_schedule::firstReadAfter(bool isFirstStart, std::uint64_t seed)
{
    if (!isFirstStart) {
        return shortestFirstDelay;
    }
    constexpr std::uint64_t steps = 1U << 20U;
    const double place = static_cast<double>(seed % steps) / static_cast<double>(steps);
    // The root makes the number of readers grow with the square of the time.
    const auto spread = static_cast<double>((longestFirstDelay - shortestFirstDelay).count()) * std::sqrt(place);
    return shortestFirstDelay + milliseconds(static_cast<int>(spread));
}

bool reading_schedule::isDue(std::size_t rank, duration age, instant now) const
{
    if (m_isRunning || now < m_notBefore) {
        return false;
    }
    if (rank == 0) {
        return now - m_startedAt >= m_pace.readerInterval || m_failures > 0;
    }
    // Ranks beyond the first few wait alike, so that the whole fleet is not late when many readers are cut off. The first few
    // are hubs; the others wait long enough for a hub's news to reach them.
    constexpr std::size_t staggeredRanks = 6;
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
