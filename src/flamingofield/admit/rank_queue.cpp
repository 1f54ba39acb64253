#include "admit/rank_queue.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace flamingofield {

rank_queue::rank_queue(rank_queue_limits limits)
    : m_limits(std::move(limits))
    , m_use(m_limits.guaranteedShares.size(), 0.0)
{
}

std::size_t rank_queue::sizeOf(int rank) const
{
    return static_cast<std::size_t>(std::count_if(m_waiters.begin(), m_waiters.end(), [&](const auto &w) { return w.rank == rank; }));
}

offer_result rank_queue::offer(const waiter &candidate)
{
    if (sizeOf(candidate.rank) < m_limits.waitersPerRank) {
        m_waiters.push_back(candidate);
        return {true, std::nullopt};
    }
    const auto placesOf = [&](std::uint64_t caller) {
        return std::count_if(m_waiters.begin(), m_waiters.end(),
                             [&](const auto &w) { return w.rank == candidate.rank && w.caller == caller; });
    };
    auto worst = m_waiters.end();
    long worstPlaces = placesOf(candidate.caller) + 1;
    for (auto it = m_waiters.begin(); it != m_waiters.end(); ++it) {
        const long places = it->rank == candidate.rank ? placesOf(it->caller) : 0;
        if (places > worstPlaces) {
            worst = it;
            worstPlaces = places;
        }
    }
    if (worst == m_waiters.end()) {
        return {};
    }
    const std::uint64_t displaced = worst->id;
    *worst = candidate;
    return {true, displaced};
}

void rank_queue::decay(instant now)
{
    if (now <= m_decayedAt) {
        return;
    }
    const double factor = std::exp2(-toSeconds(now - m_decayedAt) / toSeconds(m_limits.usageHalfLife));
    for (double &use : m_use) {
        use *= factor;
    }
    for (double &use : m_callerUse) {
        use *= factor;
    }
    m_decayedAt = now;
}

void rank_queue::countGrant(int rank, std::uint64_t caller, instant now)
{
    decay(now);
    m_use[static_cast<std::size_t>(rank)] += 1.0;
    m_callerUse[caller % callerBuckets] += 1.0;
}

int rank_queue::chooseRank() const
{
    const double total = std::accumulate(m_use.begin(), m_use.end(), 0.0);
    int mostUrgent = -1;
    for (int rank = 0; rank < static_cast<int>(m_use.size()); ++rank) {
        if (sizeOf(rank) == 0) {
            continue;
        }
        if (mostUrgent < 0) {
            mostUrgent = rank;
        }
        if (m_use[rank] < m_limits.guaranteedShares[rank] * total) {
            return rank;
        }
    }
    return mostUrgent;
}

double rank_queue::callerUse(const waiter &w) const
{
    return m_callerUse[w.caller % callerBuckets];
}

std::optional<waiter> rank_queue::take(instant now)
{
    if (m_waiters.empty()) {
        return std::nullopt;
    }
    decay(now);
    const int rank = chooseRank();
    auto best = m_waiters.end();
    for (auto it = m_waiters.begin(); it != m_waiters.end(); ++it) {
        if (it->rank != rank) {
            continue;
        }
        const bool isBetter = best == m_waiters.end() || callerUse(*it) < callerUse(*best)
            || (callerUse(*it) == callerUse(*best) && it->deadline < best->deadline);
        best = isBetter ? it : best;
    }
    const waiter chosen = *best;
    m_waiters.erase(best);
    countGrant(chosen.rank, chosen.caller, now);
    return chosen;
}

std::vector<waiter> rank_queue::expire(instant now, duration serviceTime)
{
    const auto first
        = std::stable_partition(m_waiters.begin(), m_waiters.end(), [&](const auto &w) { return now + serviceTime < w.deadline; });
    std::vector<waiter> expired(first, m_waiters.end());
    m_waiters.erase(first, m_waiters.end());
    return expired;
}

void rank_queue::remove(std::uint64_t id)
{
    const auto end = std::remove_if(m_waiters.begin(), m_waiters.end(), [&](const auto &w) { return w.id == id; });
    m_waiters.erase(end, m_waiters.end());
}

} // namespace flamingofield
