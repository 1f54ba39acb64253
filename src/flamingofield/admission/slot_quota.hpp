#pragma once

#include "config/operator_config.hpp"

#include <string>
#include <vector>

namespace flamingofield {

/// Demand of one member for a service's slots.
struct member_demand
{
    std::string member; ///< Stable name, the same at every node.
    std::vector<double> byRank; ///< Slots that the member could use now, the most urgent rank first.
};

/// Slots that each rank gets over all members: first its guaranteed share as far as it has the demand, then the remaining
/// slots in order of urgency.
std::vector<double> splitByRank(double slots, const std::vector<double> &demandByRank, const std::vector<double> &guaranteedShares);

/// Splits a service's slots among its members: the slots of each rank in proportion to the members' demand in that rank,
/// with the members' totals rounded by largest remainder. So a flood of the least urgent requests at one member takes no
/// slot that urgent requests at another need.
///
/// Members with the same input compute the same split, so no shared state is needed. Each member gets at least one slot if
/// there are enough.
/// @return slots by [target][member]
std::vector<std::vector<int>> splitSlots(const service_spec &service, const std::vector<member_demand> &members,
                                         const std::vector<double> &guaranteedShares);

/// Share of one member's slots for each of its ranks, so that the ranks get their fleet-wide slots even if their callers
/// are spread unevenly over the members.
/// @param member index into the members
/// @return shares that add up to 1, or the guaranteed shares where there is no demand
std::vector<double> memberRankShares(double slots, const std::vector<member_demand> &members, std::size_t member,
                                     const std::vector<double> &guaranteedShares);

/// Maximum number of a target's slots that a member may use: all of them while the demand of all members is clearly below
/// the declared slots, otherwise its own.
/// @param owned slots from splitSlots
/// @param slots declared slots of the target
/// @param demandRatio demand of all members over the declared slots of the service
int slotCeiling(int owned, int slots, double demandRatio);

} // namespace flamingofield
