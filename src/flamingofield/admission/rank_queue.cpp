#include "admission/rank_queue.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace flamingofield {

rank_queue::rank_queue(rank_queue_limits limits)
    : m_limits(std::move(limits))
    , m_grantsByRank(m_limits.guaranteedShares.size(), 0.0)
{
}

std::size_t rank_queue::sizeOfRank(int rank) const
{
    return static_cast<std::size_t>(std::count_if(m_queued.begin(), m_queued.end(), [&](const auto &w) { return w.rank == rank; }));
}

offer_result rank_queue::offer(const queued_request &candidate)
{
    if (sizeOfRank(candidate.rank) < m_limits.maxQueuedPerRank) {
        m_queued.push_back(candidate);
        return {true, std::nullopt};
    }
    const auto queuedOf = [&](std::uint64_t caller) {
        return std::count_if(m_queued.begin(), m_queued.end(),
                             [&](const auto &w) { return w.rank == candidate.rank && w.caller == caller; });
    };
    auto toDisplace = m_queued.end();
    long highestCount = queuedOf(candidate.caller) + 1;
    for (auto it = m_queued.begin(); it != m_queued.end(); ++it) {
        const long queuedCount = it->rank == candidate.rank ? queuedOf(it->caller) : 0;
        if (queuedCount > highestCount) {
            toDisplace = it;
            highestCount = queuedCount;
        }
    }
    if (toDisplace == m_queued.end()) {
        return {};
    }
    const std::uint64_t displaced = toDisplace->id;
    *toDisplace = candidate;
    return {true, displaced};
}

void rank_queue::decay(instant now)
{
    if (now <= m_decayedAt) {
        return;
    }
    const double factor = std::exp2(-toSeconds(now - m_decayedAt) / toSeconds(m_limits.grantHalfLife));
    for (double &grants : m_grantsByRank) {
        grants *= factor;
    }
    for (double &grants : m_grantsByCaller) {
        grants *= factor;
    }
    m_decayedAt = now;
}

void rank_queue::countGrant(int rank, std::uint64_t caller, instant now)
{
    decay(now);
    m_grantsByRank[static_cast<std::size_t>(rank)] += 1.0;
    m_grantsByCaller[caller % callerBucketCount] += 1.0;
}

int rank_queue::chooseRank() const
{
    const double total = std::accumulate(m_grantsByRank.begin(), m_grantsByRank.end(), 0.0);
    int mostUrgent = -1;
    for (int rank = 0; rank < static_cast<int>(m_grantsByRank.size()); ++rank) {
        if (sizeOfRank(rank) == 0) {
            continue;
        }
        if (mostUrgent < 0) {
            mostUrgent = rank;
        }
        if (m_grantsByRank[rank] < m_limits.guaranteedShares[rank] * total) {
            return rank;
        }
    }
    return mostUrgent;
}

double rank_queue::callerGrants(const queued_request &w) const
{
    return m_grantsByCaller[w.caller % callerBucketCount];
}

std::optional<queued_request> rank_queue::take(instant now)
{
    if (m_queued.empty()) {
        return std::nullopt;
    }
    decay(now);
    const int rank = chooseRank();
    auto best = m_queued.end();
    for (auto it = m_queued.begin(); it != m_queued.end(); ++it) {
        if (it->rank != rank) {
            continue;
        }
        const bool isBetter = best == m_queued.end() || callerGrants(*it) < callerGrants(*best)
            || (callerGrants(*it) == callerGrants(*best) && it->deadline < best->deadline);
        best = isBetter ? it : best;
    }
    const queued_request chosen = *best;
    m_queued.erase(best);
    countGrant(chosen.rank, chosen.caller, now);
    return chosen;
}

std::vector<queued_request> rank_queue::expire(instant now, duration serviceTime)
{
    const auto first
        = std::stable_partition(m_queued.begin(), m_queued.end(), [&](const auto &w) { return now + serviceTime < w.deadline; });
    std::vector<queued_request> expired(first, m_queued.end());
    m_queued.erase(first, m_queued.end());
    return expired;
}

void rank_queue::remove(std::uint64_t id)
{
    const auto end = std::remove_if(m_queued.begin(), m_queued.end(), [&](const auto &w) { return w.id == id; });
    m_queued.erase(end, m_queued.end());
}

} // namespace flamingofield
