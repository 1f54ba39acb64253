#include "store/reading_schedule.hpp"

#include <algorithm>
#include <cmath>

namespace flamingofield {

namespace {

/// Peers that have the content already send it within this time.
constexpr milliseconds minFirstDelay{150};
/// Callers arrive some seconds after the first start; the rest of that time is left for retries of failed reads.
constexpr milliseconds maxFirstDelay{2050};
/// The same for a node that has heard of no other one: its seeds may start later, or be lost.
constexpr milliseconds maxFirstDelayAlone{600};
/// Mean time between the reads of all nodes behind the first positions, while the store fails.
constexpr milliseconds crowdReadInterval{50};
/// Number of positions with staggered reads. Higher positions all wait equally long, so that the delay stays limited when many readers are
/// cut off. The first positions are hubs; the others wait long enough to receive a hub's update.
constexpr std::size_t staggeredPositions = 6;

} // namespace

milliseconds reading_schedule::initialReadDelay(bool isFirstStart, std::uint64_t seed, start_knowledge knowledge)
{
    if (!isFirstStart && knowledge == start_knowledge::firstInLine) {
        return minFirstDelay;
    }
    constexpr std::uint64_t steps = 1U << 20U;
    const double fraction = static_cast<double>(seed % steps) / static_cast<double>(steps);
    const milliseconds maxDelay = !isFirstStart && knowledge == start_knowledge::alone ? maxFirstDelayAlone : maxFirstDelay;
    // The square root makes the number of nodes that read grow with the square of the time.
    const auto spread = static_cast<double>((maxDelay - minFirstDelay).count()) * std::sqrt(fraction);
    return minFirstDelay + milliseconds(static_cast<int>(spread));
}

bool reading_schedule::isFirstInLine(std::size_t position)
{
    return position < staggeredPositions;
}

void reading_schedule::setCrowd(std::size_t nodes, double fraction)
{
    m_round = milliseconds(static_cast<long long>(static_cast<double>(nodes) * toSeconds(crowdReadInterval) * 1000.0));
    m_turn = milliseconds(static_cast<long long>(static_cast<double>(m_round.count()) * fraction));
}

bool reading_schedule::isDue(std::size_t position, duration age, instant now) const
{
    if (!isIdle(now)) {
        return false;
    }
    if (position == 0) {
        return now - m_startedAt >= m_intervals.readerInterval || m_failures > 0;
    }
    const milliseconds turn = isFirstInLine(position) ? milliseconds(0) : m_turn;
    return age >= m_intervals.staleAfter + m_intervals.positionDelay * static_cast<int>(std::min(position, staggeredPositions)) + turn;
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
    constexpr int maxCountedFailures = 16; // Keeps the shift small; the delay reaches its maximum much earlier.
    m_isRunning = false;
    m_failures = std::min(m_failures + 1, maxCountedFailures);
    m_failedAt = now;
}

duration reading_schedule::retryDelay() const
{
    if (m_failures == 0) {
        return duration::zero();
    }
    if (isFirstInLine(m_position)) {
        return std::min(m_intervals.maxRetryDelay, m_intervals.initialRetryDelay * (1 << (m_failures - 1)));
    }
    return std::max(m_round, std::min(m_intervals.maxRetryDelayOfOthers, m_intervals.initialRetryDelay * (1 << (m_failures - 1))));
}

} // namespace flamingofield
