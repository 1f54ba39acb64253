#include "admit/slot_quota.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace flamingofield {

namespace {

constexpr double borrowBelowRatio = 0.7;
constexpr double leastClaim = 0.25; // Slots; keeps a share for a member that is idle for a moment.

/// Slots due by [member][rank].
std::vector<std::vector<double>> dueSlots(double slots, const std::vector<member_demand> &members,
                                          const std::vector<double> &guaranteedShares)
{
    const std::size_t ranks = guaranteedShares.size();
    std::vector<double> byRank(ranks, 0.0);
    for (const auto &m : members) {
        for (std::size_t rank = 0; rank < std::min(ranks, m.byRank.size()); ++rank) {
            byRank[rank] += m.byRank[rank];
        }
    }
    const std::vector<double> granted = splitByRank(slots, byRank, guaranteedShares);
    std::vector<std::vector<double>> due(members.size(), std::vector<double>(ranks, 0.0));
    for (std::size_t m = 0; m < members.size(); ++m) {
        for (std::size_t rank = 0; rank < std::min(ranks, members[m].byRank.size()); ++rank) {
            due[m][rank] = byRank[rank] > 0.0 ? granted[rank] * members[m].byRank[rank] / byRank[rank] : 0.0;
        }
    }
    return due;
}

std::vector<int> apportion(int total, const std::vector<double> &claimed)
{
    const int count = static_cast<int>(claimed.size());
    const int base = total >= count ? 1 : 0;
    const int rest = total - base * count;
    const double sum = std::accumulate(claimed.begin(), claimed.end(), 0.0);
    std::vector<int> shares(claimed.size(), base);
    std::vector<std::pair<double, std::size_t>> remainders;
    int given = 0;
    for (std::size_t i = 0; i < claimed.size(); ++i) {
        const double exact = rest * claimed[i] / sum;
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

std::vector<double> splitByRank(double slots, const std::vector<double> &demandByRank, const std::vector<double> &guaranteedShares)
{
    std::vector<double> granted;
    double left = slots;
    for (std::size_t rank = 0; rank < demandByRank.size(); ++rank) {
        granted.push_back(std::min(demandByRank[rank], guaranteedShares[rank] * slots));
        left -= granted.back();
    }
    for (std::size_t rank = 0; rank < demandByRank.size() && left > 0.0; ++rank) {
        const double more = std::min(left, demandByRank[rank] - granted[rank]);
        granted[rank] += more;
        left -= more;
    }
    return granted;
}

std::vector<std::vector<int>> splitSlots(const service_spec &service, const std::vector<member_demand> &members,
                                         const std::vector<double> &guaranteedShares)
{
    std::vector<std::vector<int>> owned(service.targets.size(), std::vector<int>(members.size(), 0));
    if (members.empty()) {
        return owned;
    }
    std::vector<double> claimed;
    for (const auto &byRank : dueSlots(declaredSlots(service), members, guaranteedShares)) {
        claimed.push_back(leastClaim + std::accumulate(byRank.begin(), byRank.end(), 0.0));
    }
    std::vector<int> left = apportion(declaredSlots(service), claimed);
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

std::vector<double> memberRankShares(double slots, const std::vector<member_demand> &members, std::size_t member,
                                     const std::vector<double> &guaranteedShares)
{
    if (member >= members.size()) {
        return guaranteedShares;
    }
    std::vector<double> shares = dueSlots(slots, members, guaranteedShares)[member];
    const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
    if (sum <= 0.0) {
        return guaranteedShares;
    }
    for (double &share : shares) {
        share /= sum;
    }
    return shares;
}

int slotCeiling(int owned, int slots, double demandRatio)
{
    return demandRatio < borrowBelowRatio ? slots : owned;
}

} // namespace flamingofield
