#include "admit/slot_quota.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace flamingofield {

namespace {

constexpr double borrowBelowRatio = 0.7;
constexpr double leastDemand = 0.25; // Slots; keeps a share for a member that is idle for a moment.

std::vector<int> apportion(int total, const std::vector<member_demand> &members)
{
    const int count = static_cast<int>(members.size());
    const int base = total >= count ? 1 : 0;
    const int rest = total - base * count;
    double sum = 0.0;
    for (const auto &m : members) {
        sum += std::max(m.demand, leastDemand);
    }
    std::vector<int> shares(members.size(), base);
    std::vector<std::pair<double, std::size_t>> remainders;
    int given = 0;
    for (std::size_t i = 0; i < members.size(); ++i) {
        const double exact = rest * std::max(members[i].demand, leastDemand) / sum;
        const int whole = static_cast<int>(exact);
        shares[i] += whole;
        given += whole;
        remainders.emplace_back(whole - exact, i);
    }
    std::sort(remainders.begin(), remainders.end());
    for (int i = 0; i < rest - given; ++i) {
        ++shares[remainders[static_cast<std::size_t>(i)].second];
    }
    return shares;
}

} // namespace

std::vector<std::vector<int>> splitSlots(const service_spec &service, const std::vector<member_demand> &members)
{
    std::vector<std::vector<int>> owned(service.targets.size(), std::vector<int>(members.size(), 0));
    if (members.empty()) {
        return owned;
    }
    std::vector<int> left = apportion(declaredSlots(service), members);
    std::vector<int> freeSlots;
    for (const auto &target : service.targets) {
        freeSlots.push_back(target.slots);
    }
    // Members take turns, each from the target with the most free slots, so that every member reaches many targets.
    bool given = true;
    while (given) {
        given = false;
        for (std::size_t m = 0; m < members.size(); ++m) {
            const auto most = std::max_element(freeSlots.begin(), freeSlots.end());
            if (left[m] == 0 || *most == 0) {
                continue;
            }
            --left[m];
            --*most;
            ++owned[static_cast<std::size_t>(most - freeSlots.begin())][m];
            given = true;
        }
    }
    return owned;
}

int slotCeiling(int owned, int slots, double demandRatio)
{
    return demandRatio < borrowBelowRatio ? slots : owned;
}

} // namespace flamingofield
