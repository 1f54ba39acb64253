#pragma once

#include "config/operator_text.hpp"

#include <string>
#include <vector>

namespace flamingofield {

/// Demand of one member for a service's slots.
struct member_demand
{
    std::string member; ///< Stable name, the same at every node.
    double demand = 0.0; ///< Slots that the member could use now.
};

/// Splits a service's slots among its members in proportion to demand, by largest remainder.
///
/// All members that know the same figures compute the same split, so no count has to be stored. Each member keeps at
/// least one slot while there are enough.
/// @return slots by [target][member]
std::vector<std::vector<int>> splitSlots(const service_spec &service, const std::vector<member_demand> &members);

/// Most slots of a target that a member may use.
///
/// While the members together ask for clearly less than there is, each may use any slot; otherwise each keeps to its own.
/// @param owned slots from splitSlots
/// @param slots declared slots of the target
/// @param demandRatio demand of all members over the declared slots of the service
int slotCeiling(int owned, int slots, double demandRatio);

} // namespace flamingofield
