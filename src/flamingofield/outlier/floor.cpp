#include "outlier/floor.hpp"

#include <algorithm>
#include <numeric>

namespace flamingofield {

namespace {

std::vector<std::size_t> indicesByEvidence(const std::vector<floor_target> &rows)
{
    std::vector<std::size_t> order(rows.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return rows[a].evidence > rows[b].evidence; });
    return order;
}

} // namespace

int slotsInService(const std::vector<floor_target> &rows)
{
    int slots = 0;
    for (const auto &row : rows) {
        slots += row.isEjected || row.isUnavailable ? 0 : row.slots;
    }
    return slots;
}

std::vector<floor_decision> applyFloor(const std::vector<floor_target> &rows, int floorSlots)
{
    std::vector<floor_decision> decisions(rows.size(), floor_decision::unchanged);
    const std::vector<std::size_t> order = indicesByEvidence(rows);
    int inService = slotsInService(rows);
    for (const std::size_t i : order) {
        const floor_target &row = rows[i];
        if (!row.isEjectionDue || row.isEjected) {
            continue;
        }
        const int left = row.isUnavailable ? inService : inService - row.slots;
        const bool isGranted = left >= floorSlots;
        decisions[i] = isGranted ? floor_decision::eject : floor_decision::deny;
        inService = isGranted ? left : inService;
    }
    for (auto it = order.rbegin(); it != order.rend() && inService < floorSlots; ++it) {
        const floor_target &row = rows[*it];
        if (row.isEjected && !row.isUnavailable) {
            decisions[*it] = floor_decision::restore;
            inService += row.slots;
        }
    }
    return decisions;
}

} // namespace flamingofield
