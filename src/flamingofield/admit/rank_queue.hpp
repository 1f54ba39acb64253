#pragma once

#include "core/time.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace flamingofield {

/// A request that waits for a slot.
struct waiter
{
    std::uint64_t id = 0;
    int rank = 0; ///< 0 is the most urgent.
    std::uint64_t caller = 0; ///< Hash of the caller's address or account.
    instant deadline;
};

/// Limits of one service's queue.
struct rank_queue_limits
{
    std::vector<double> guaranteedShares; ///< By rank.
    std::size_t waitersPerRank = 48;
    duration usageHalfLife = milliseconds(500);
};

/// Who is refused when a queue is full: the newcomer or a waiter of the caller that holds the most places.
struct offer_result
{
    bool accepted = false;
    std::optional<std::uint64_t> displaced;
};

/// Waiting requests of one service, ordered by rank, fairness between callers, and deadline. Not thread-safe.
///
/// A rank that has used less than its guaranteed share goes first, the more urgent before the less; beyond the
/// shares the most urgent rank wins. So a flood of the least urgent work costs the urgent nothing but that small
/// share, and a flood of the most urgent cannot starve the rest.
class rank_queue
{
public:
    explicit rank_queue(rank_queue_limits limits);

    /// Replaces the guaranteed shares, as the demand of the other members changes.
    void setShares(std::vector<double> shares)
    {
        m_limits.guaranteedShares = std::move(shares);
    }

    /// Adds a waiter, or displaces one of a caller that holds more places in the same rank.
    offer_result offer(const waiter &candidate);

    /// Removes and returns the waiter that gets the next slot.
    std::optional<waiter> take(instant now);

    /// Removes and returns the waiters that can no longer meet their deadline.
    /// @param serviceTime time that a request needs once it has a slot
    std::vector<waiter> expire(instant now, duration serviceTime);

    /// Removes a waiter; unknown ids are ignored.
    void remove(std::uint64_t id);

    /// Counts a grant that did not wait.
    void countGrant(int rank, std::uint64_t caller, instant now);

    /// True if a request of this rank may take a free slot without waiting.
    bool isIdle() const
    {
        return m_waiters.empty();
    }

    std::size_t size() const
    {
        return m_waiters.size();
    }

    std::size_t sizeOf(int rank) const;

private:
    static constexpr std::size_t callerBuckets = 64;

    void decay(instant now);
    int chooseRank() const;
    double callerUse(const waiter &w) const;

    rank_queue_limits m_limits;
    std::vector<waiter> m_waiters;
    std::vector<double> m_use; ///< Decayed grants by rank.
    std::array<double, callerBuckets> m_callerUse{};
    instant m_decayedAt;
};

} // namespace flamingofield
