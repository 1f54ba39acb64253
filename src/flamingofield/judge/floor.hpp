#pragma once

#include <vector>

namespace flamingofield {

/// What the floor needs to know of a target.
struct floor_row
{
    int slots = 0;
    double evidence = 0.0; ///< Of sickness; the strongest are ejected first.
    bool isEjected = false;
    bool isSick = false; ///< Evidence asks for an ejection.
    bool isAbsent = false; ///< Leaving or still warming up, so not healthy capacity.
};

/// What to do with a target.
enum class floor_decision { unchanged, eject, deny, restore };

/// Grants ejections, strongest evidence first, while the slots left stay at or above the floor; where they have fallen
/// below it, restores the ejected targets with the least evidence.
std::vector<floor_decision> applyFloor(const std::vector<floor_row> &rows, int floorSlots);

/// Slots of the targets that are neither ejected nor absent.
int slotsInService(const std::vector<floor_row> &rows);

} // namespace flamingofield
