#include "store/reading_schedule.hpp"

#include <algorithm>
#include <cmath>

namespace flamingofield {

namespace {

/// Peers that know everything answer within this time.
constexpr milliseconds shortestFirstDelay{150};
/// Callers come some seconds after the first start; this leaves them for failed reads.
constexpr milliseconds longestFirstDelay{2050};
/// Ranks beyond the first few wait alike, so that the whole fleet is not late when many readers are cut off. The first few
/// are hubs; the others wait long enough for a hub's news to reach them.
constexpr std::size_t staggeredRanks = 6;

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
    if (!isIdle(now)) {
        return false;
    }
    if (rank == 0) {
        return now - m_startedAt >= m_pace.readerInterval || m_failures > 0;
    }
    return age >= m_pace.staleAfter + m_pace.rankDelay * static_cast<int>(std::min(rank, staggeredRanks));
}

void reading_schedule::started(instant now)
{
    m_isRunning = true;
    m_startedAt = now;
}

void reading_schedule::succeeded()
{
    m_isRunning = false;
    m_failures = 0;
}

void reading_schedule::failed(instant now)
{
    constexpr int mostCounted = 16; // Far beyond the longest pause.
    m_isRunning = false;
    m_failures = std::min(m_failures + 1, mostCounted);
    m_failedAt = now;
}

duration reading_schedule::pause() const
{
    if (m_failures == 0) {
        return duration::zero();
    }
    const auto longest = m_rank < staggeredRanks ? m_pace.lastRetry : m_pace.lastRetryOfOthers;
    return std::min(longest, m_pace.firstRetry * (1 << (m_failures - 1)));
}

} // namespace flamingofield
