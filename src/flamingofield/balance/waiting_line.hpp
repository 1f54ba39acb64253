#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace flamingofield {

/// A request that waits for a slot of its service.
struct waiting_request
{
    std::uint64_t id = 0;
    int rank = 0; ///< Urgency, zero first.
    instant arrivedAt{};
    instant giveUpAt{}; ///< The caller's deadline or the route's timeout.
    duration usualWork{};
};

/// What this node may use of a service.
struct service_capacity
{
    int slots = 0; ///< Of all usable targets.
    double share = 1.0; ///< This node's part of the fleet's work, above 0 and up to 1.
};

/// Who waits for a service, in which order, and who is refused. Pattern: a burst of one kind of work that would fill all
/// slots while more urgent work arrives steadily. No network, no clock.
class waiting_line
{
public:
    /// Part of the dispatches that each rank gets while it waits, however much urgent work there is.
    static constexpr double guaranteedShare = 0.08;
    /// Most requests that wait at one node for one service; bounds memory.
    static constexpr std::size_t longestLine = 400;

    /// Notes an arrival for the estimate of what each rank needs, whether it waits or not.
    void arrived(int rank, duration usualWork, instant now);

    void push(const waiting_request &request);
    void remove(std::uint64_t id);

    /// Ids in the order in which they should get the next slots.
    std::vector<std::uint64_t> order() const;

    /// Notes that a request of a rank got a slot.
    void dispatched(int rank);

    /// Requests that can no longer be served in time; they leave the line.
    std::vector<std::uint64_t> takeHopeless(instant now);

    /// Time until a new request of a rank would get a slot.
    duration expectedWait(int rank, const service_capacity &capacity, instant now) const;

    /// Slots of the fleet that a rank leaves free for more urgent work to come.
    int reservedSlots(int rank, const service_capacity &capacity, instant now) const;

    bool empty() const
    {
        return m_waiting.empty();
    }
    std::size_t size() const
    {
        return m_waiting.size();
    }

private:
    /// Slots that the arrivals of one rank keep busy, smoothed.
    struct demand
    {
        double slots = 0.0;
        instant updated{};
    };

    double demandOf(int rank, instant now) const;

    std::vector<waiting_request> m_waiting;
    std::map<int, demand> m_demand;
    std::map<int, double> m_dispatched; ///< Recent dispatches by rank, decaying.
};

} // namespace flamingofield
