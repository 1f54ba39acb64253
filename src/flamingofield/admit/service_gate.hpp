#pragma once

#include "admit/rank_queue.hpp"
#include "admit/retry_budget.hpp"
#include "admit/slot_ledger.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>
#include <variant>

namespace flamingofield {

/// A request that asks for a slot.
struct slot_request
{
    int rank = 0;
    std::uint64_t caller = 0;
    instant deadline;
    pick_request pick;
};

/// A slot at a target; it must be given back.
struct slot_grant
{
    std::size_t target = 0;
};

enum class refusal_reason { queueFull, displaced, deadline, noTarget };

/// No slot was granted, so nothing was sent.
struct slot_refusal
{
    refusal_reason reason = refusal_reason::queueFull;
};

using slot_result = std::variant<slot_grant, slot_refusal>;

/// Words for a refusal.
const char *describe(refusal_reason reason);

/// Admission to one service's targets; thread-safe.
///
/// Requests wait here in the thread that serves them, so the bound of the queue also bounds the threads in use.
class service_gate
{
public:
    explicit service_gate(rank_queue_limits limits, double retryRatio);

    /// Waits for a slot until the deadline can no longer be met.
    slot_result acquire(const slot_request &request);

    /// Gives a slot back.
    /// @param rank of the request that held it
    void release(std::size_t target, int rank, bool succeeded, bool shed);

    /// Counts one more slot in use, for a second attempt that did not ask for it.
    void addUse(std::size_t target, int rank);

    /// Runs a change of the ledger under the lock and wakes waiters that may go on.
    void update(const std::function<void(slot_ledger &)> &change);

    /// Index of a target's address; the same for the life of the gate.
    std::size_t indexOf(const std::string &address);

    const rank_queue_limits &limits() const
    {
        return m_limits;
    }

    /// Replaces the guaranteed shares of the ranks at this node.
    void setShares(std::vector<double> shares);

    /// Slots in use and requests waiting, by rank.
    std::vector<double> demand() const;

    void depositRetry();
    bool withdrawRetry();

private:
    struct parked
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
    slot_ledger m_ledger;
    retry_budget m_retries;
    std::vector<int> m_useByRank;
    duration m_serviceTime = milliseconds(5);
    std::uint64_t m_nextId = 1;
    std::unordered_map<std::uint64_t, parked *> m_parked;
    std::unordered_map<std::uint64_t, pick_request> m_picks;
    std::unordered_map<std::string, std::size_t> m_indices;
    std::vector<std::string> m_addresses;
};

} // namespace flamingofield
