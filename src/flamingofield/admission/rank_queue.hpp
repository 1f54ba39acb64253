#pragma once

#include "core/time.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace flamingofield {

/// A request that waits for a slot.
struct queued_request
{
    std::uint64_t id = 0;
    int rank = 0; ///< 0 is the most urgent.
    std::uint64_t caller = 0; ///< Hash of the caller's address or account.
    instant deadline;
};

/// Limits of one service's queue.
struct rank_queue_limits
{
    std::vector<double> guaranteedShares; ///< Of the slots, by rank.
    std::size_t maxQueuedPerRank = 48;
    duration grantHalfLife = milliseconds(500);
};

/// Result of adding a request. In a full queue the new request is refused, or it displaces one of the caller with the
/// most queued requests.
struct offer_result
{
    bool accepted = false;
    std::optional<std::uint64_t> displaced; ///< Id of the request that lost its place.
};

/// Queued requests of one service, ordered by rank, fairness between callers, and deadline. Not thread-safe.
///
/// Ranks below their guaranteed share of recent grants are served first, the more urgent before the less urgent; after
/// them the most urgent rank. So a flood of the least urgent requests takes only its guaranteed share from the urgent
/// ones, and a flood of the most urgent does not starve the others.
class rank_queue
{
public:
    explicit rank_queue(rank_queue_limits limits);

    /// Replaces the guaranteed shares; they depend on the demand of the other members.
    void setShares(std::vector<double> shares)
    {
        m_limits.guaranteedShares = std::move(shares);
    }

    /// Adds a request. If its rank is full, it may displace one of a caller with more queued requests of the same rank.
    offer_result offer(const queued_request &candidate);

    /// Removes and returns the request that gets the next slot; none if the queue is empty.
    std::optional<queued_request> take(instant now);

    /// Removes and returns the requests that can no longer meet their deadline.
    /// @param serviceTime time from getting a slot to the answer
    std::vector<queued_request> expire(instant now, duration serviceTime);

    /// Removes a request; unknown ids are ignored.
    void remove(std::uint64_t id);

    /// Counts a grant to a request that was not queued.
    void countGrant(int rank, std::uint64_t caller, instant now);

    /// True if no request is queued, so that a new one may take a free slot at once.
    bool isEmpty() const
    {
        return m_queued.empty();
    }

    std::size_t size() const
    {
        return m_queued.size();
    }

    std::size_t sizeOfRank(int rank) const;

private:
    static constexpr std::size_t callerBucketCount = 64;

    void decay(instant now);
    int chooseRank() const;
    double callerGrants(const queued_request &w) const;

    rank_queue_limits m_limits;
    std::vector<queued_request> m_queued;
    std::vector<double> m_grantsByRank; ///< With exponential decay.
    std::array<double, callerBucketCount> m_grantsByCaller{};
    instant m_decayedAt;
};

} // namespace flamingofield
