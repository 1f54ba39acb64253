#pragma once

#include <vector>

namespace flamingofield {

/// State of one target as input for applyFloor().
struct floor_target
{
    int slots = 0;
    double evidence = 0.0; ///< That the target is unhealthy, in nats; the targets with most evidence are ejected first.
    bool isEjected = false;
    bool isEjectionDue = false; ///< The evidence suffices for an ejection.
    bool isUnavailable = false; ///< Leaving, in warm-up or not listed, so not counted as capacity.
};

/// Decision about one target.
enum class floor_decision { unchanged, eject, deny, restore };

/// Grants ejections, strongest evidence first, as long as the slots in service stay at or above the floor. If they are
/// below it, restores ejected targets, weakest evidence first.
/// @param floorSlots slots that must stay in service
/// @return one decision for each row
std::vector<floor_decision> applyFloor(const std::vector<floor_target> &rows, int floorSlots);

/// Slots of the targets that are neither ejected nor unavailable.
int slotsInService(const std::vector<floor_target> &rows);

} // namespace flamingofield
