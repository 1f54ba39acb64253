#pragma once

#include "config/operator_text.hpp"

#include <string>
#include <vector>

namespace flamingofield {

/// Demand of one member for a service's slots.
struct member_demand
{
    std::string member; ///< Stable name, the same at every node.
    std::vector<double> byRank; ///< Slots that the member could use now, the most urgent rank first.
};

/// Slots that each rank gets over all members: first its guaranteed share of the slots while it has the demand, then
/// what is left in order of urgency.
std::vector<double> splitByRank(double slots, const std::vector<double> &demandByRank, const std::vector<double> &guaranteedShares);

/// Splits a service's slots among its members: the slots of each rank in proportion to the members' demand of that rank,
/// and the sum by largest remainder. So a flood of the least urgent at one member takes no slot that urgent work at another
/// needs.
///
/// All members that know the same figures compute the same split, so no count has to be stored. Each member keeps at
/// least one slot while there are enough.
/// @return slots by [target][member]
std::vector<std::vector<int>> splitSlots(const service_spec &service, const std::vector<member_demand> &members,
                                         const std::vector<double> &guaranteedShares);

/// Share of one member's slots that each of its ranks is due, so that the ranks get their fleet-wide slots although their
/// callers are spread unevenly.
/// @param member index into the members
/// @return shares that add up to 1, or the guaranteed shares where there is no demand
std::vector<double> memberRankShares(double slots, const std::vector<member_demand> &members, std::size_t member,
                                     const std::vector<double> &guaranteedShares);

/// Most slots of a target that a member may use.
///
/// While the members together ask for clearly less than there is, each may use any slot; otherwise each keeps to its own.
/// @param owned slots from splitSlots
/// @param slots declared slots of the target
/// @param demandRatio demand of all members over the declared slots of the service
int slotCeiling(int owned, int slots, double demandRatio);

} // namespace flamingofield
