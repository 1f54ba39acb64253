#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace flamingofield {

/// A request that is queued for a slot of its service.
struct queue_entry
{
    std::uint64_t id = 0;
    int priority = 0; ///< Zero is the most urgent.
    instant arrivedAt{};
    instant deadline{}; ///< The earlier one of the caller's deadline and the route's timeout.
    duration meanServiceTime{};
    std::uint64_t account = 0; ///< Client account; zero for requests without one, which count as one account.
};

/// What decides the place of a request in the queue.
struct queue_place
{
    int priority = 0;
    std::uint64_t account = 0;
};

/// Slots of a service and this node's share of them.
struct service_capacity
{
    int slots = 0; ///< Of all targets that are not draining.
    double share = 1.0; ///< This node's share of the fleet's requests, above 0 and up to 1.
};

/// Priority queue of the requests that wait for a slot of one service. It decides their order and which of them cannot be served
/// in time, and keeps slots free for urgent requests during bursts of less urgent ones. Requests of the same priority take turns by
/// client account: the one whose account holds the fewest slots and earlier places goes first, so that an account that sends many
/// times its usual takes no room from the others.
class request_queue
{
public:
    /// Share of the dispatches that each priority gets while it has queued requests, however many urgent requests there are.
    static constexpr double guaranteedShare = 0.08;
    /// Maximum number of queued requests, which bounds memory.
    static constexpr std::size_t maxLength = 400;

    /// Records an arrival for the estimate of each priority's demand, whether the request is queued or not.
    void recordArrival(int priority, duration meanServiceTime, instant now);

    void push(const queue_entry &request);
    void remove(std::uint64_t id);

    /// Ids in the order in which the requests should get the next free slots.
    std::vector<std::uint64_t> dispatchOrder() const;

    /// Records that a request of an account got a slot, or that it no longer has one.
    void recordStart(std::uint64_t account);
    void recordEnd(std::uint64_t account);

    /// The request that a new one of an account may replace in a full queue: the last one of the account with the most requests.
    /// @return nothing if no account has at least two requests more than the given one
    std::optional<std::uint64_t> replaceableFor(std::uint64_t account) const;

    /// Records that a request of a priority got a slot.
    void recordDispatch(int priority);

    /// Removes the requests that can no longer be served before their deadlines.
    /// @return their ids
    std::vector<std::uint64_t> takeUnservable(instant now);

    /// Expected time until a new request would get a slot.
    duration expectedWait(const queue_place &place, const service_capacity &capacity, instant now) const;

    /// Number of the service's slots that requests of a priority must leave free for more urgent ones.
    int reservedSlots(int priority, const service_capacity &capacity, instant now) const;

    bool empty() const
    {
        return m_entries.empty();
    }
    std::size_t size() const
    {
        return m_entries.size();
    }

private:
    /// Moving average of the slots that the arrivals of one priority keep busy.
    struct demand
    {
        double slots = 0.0;
        instant updated{};
    };

    double demandOf(int priority, instant now) const;
    int slotsOf(std::uint64_t account) const;
    /// Turn of each entry among those of its priority: the number of slots and earlier places that its account holds.
    std::vector<int> turns() const;

    std::vector<queue_entry> m_entries;
    std::map<int, demand> m_demand;
    std::map<int, double> m_dispatchCounts; ///< Decaying counts of dispatches by priority.
    std::unordered_map<std::uint64_t, int> m_slotsInUse; ///< By account, of this node's requests.
};

} // namespace flamingofield
