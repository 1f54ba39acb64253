#pragma once

#include "admission/rank_queue.hpp"
#include "admission/retry_budget.hpp"
#include "admission/slot_table.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>
#include <variant>

namespace flamingofield {

/// Request for a slot.
struct slot_request
{
    int rank = 0;
    std::uint64_t caller = 0;
    instant deadline;
    target_criteria criteria;
};

/// A granted slot; it must be returned with release().
struct slot_grant
{
    std::size_t target = 0;
};

enum class refusal_reason { queueFull, displaced, deadline, noTarget };

/// No slot was granted, so the request was not sent.
struct slot_refusal
{
    refusal_reason reason = refusal_reason::queueFull;
};

using slot_result = std::variant<slot_grant, slot_refusal>;

/// Text for a refusal, as callers get it.
const char *describe(refusal_reason reason);

/// Admission control for one service's targets; thread-safe.
///
/// A queued request blocks the thread that serves it, so the limit of the queue also limits the threads in use.
class admission_controller
{
public:
    explicit admission_controller(rank_queue_limits limits, double retryRatio);

    /// Waits for a slot, at most until the deadline can no longer be met.
    slot_result acquire(const slot_request &request);

    /// Returns a slot.
    /// @param rank of the request that held it
    /// @param succeeded true if the request succeeded
    /// @param shed true if the target refused the request because of its load
    void release(std::size_t target, int rank, bool succeeded, bool shed);

    /// Counts one more slot in use, for a retry on a new connection, which does not call acquire().
    void addSlotInUse(std::size_t target, int rank);

    /// Changes the slot table under the lock, then grants slots to queued requests.
    void update(const std::function<void(slot_table &)> &change);

    /// Index of a target, which is added if it is new. It does not change during the lifetime of this object.
    std::size_t indexOf(const std::string &address);

    const rank_queue_limits &limits() const
    {
        return m_limits;
    }

    /// Replaces the guaranteed shares of the ranks at this node.
    void setShares(std::vector<double> shares);

    /// Slots in use and queued requests, by rank.
    std::vector<double> demand() const;

    void depositRetry();
    bool withdrawRetry();

private:
    struct waiting_thread
    {
        std::condition_variable wake;
        std::optional<slot_result> answer;
    };

    void dispatch(instant now);
    void refuse(std::uint64_t id, refusal_reason reason);
    slot_result await(std::unique_lock<std::mutex> &lock, const slot_request &request, std::uint64_t id);

    const rank_queue_limits m_limits;
    mutable std::mutex m_mutex;
    rank_queue m_queue;
    slot_table m_slotTable;
    retry_budget m_retryBudget;
    std::vector<int> m_slotsInUseByRank;
    duration m_serviceTime = milliseconds(5);
    std::uint64_t m_nextId = 1;
    std::unordered_map<std::uint64_t, waiting_thread *> m_waitingThreads;
    std::unordered_map<std::uint64_t, target_criteria> m_criteria;
    std::unordered_map<std::string, std::size_t> m_indices;
    std::vector<std::string> m_addresses;
};

} // namespace flamingofield
