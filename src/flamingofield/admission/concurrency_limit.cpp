#include "admission/concurrency_limit.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

constexpr double decreaseFactor = 0.5;
constexpr double minValue = 0.5; // allowed() still lets one request through.

} // namespace

void concurrency_limit::setBounds(int ownedSlots, int maxSlots)
{
    // Starts at the maximum; shed requests lower it.
    value = hasBounds ? value : maxSlots;
    hasBounds = true;
    owned = ownedSlots;
    ceiling = maxSlots;
    value = std::min(value, static_cast<double>(ceiling));
}

void concurrency_limit::increase()
{
    value = std::min(value + 1.0 / std::max(value, 1.0), static_cast<double>(ceiling));
}

void concurrency_limit::decrease()
{
    value = std::max(value * decreaseFactor, std::min(minValue, static_cast<double>(ceiling)));
}

int concurrency_limit::allowed() const
{
    return ceiling <= 0 ? 0 : std::max(1, static_cast<int>(value));
}

} // namespace flamingofield
