#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <map>
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
};

/// Slots of a service and this node's share of them.
struct service_capacity
{
    int slots = 0; ///< Of all targets that are not draining.
    double share = 1.0; ///< This node's share of the fleet's requests, above 0 and up to 1.
};

/// Priority queue of the requests that wait for a slot of one service. It decides their order and which of them cannot be served
/// in time, and keeps slots free for urgent requests during bursts of less urgent ones.
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

    /// Records that a request of a priority got a slot.
    void recordDispatch(int priority);

    /// Removes the requests that can no longer be served before their deadlines.
    /// @return their ids
    std::vector<std::uint64_t> takeUnservable(instant now);

    /// Expected time until a new request of a priority would get a slot.
    duration expectedWait(int priority, const service_capacity &capacity, instant now) const;

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

    std::vector<queue_entry> m_entries;
    std::map<int, demand> m_demand;
    std::map<int, double> m_dispatchCounts; ///< Decaying counts of dispatches by priority.
};

} // namespace flamingofield
