#include "admit/slot_window.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

constexpr double decreaseFactor = 0.5;
constexpr double leastWindow = 0.5; // Rounds up to one request as a trial.

} // namespace

void slot_window::bound(int ownedSlots, int mostSlots)
{
    // A node starts with all it may use; sheds teach it less.
    value = isBound ? value : mostSlots;
    isBound = true;
    owned = ownedSlots;
    ceiling = mostSlots;
    value = std::min(value, static_cast<double>(ceiling));
}

void slot_window::increase()
{
    value = std::min(value + 1.0 / std::max(value, 1.0), static_cast<double>(ceiling));
}

void slot_window::decrease()
{
    value = std::max(value * decreaseFactor, std::min(leastWindow, static_cast<double>(ceiling)));
}

int slot_window::allowed() const
{
    return ceiling <= 0 ? 0 : std::max(1, static_cast<int>(value));
}

} // namespace flamingofield
