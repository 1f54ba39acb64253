#include "admission/slot_quota.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace flamingofield {

namespace {

constexpr double borrowBelowRatio = 0.7;
constexpr double minClaimSlots = 0.25; // Keeps a share for members that are idle for a moment.

/// Slots by [member][rank], in fractions.
std::vector<std::vector<double>> slotsByMemberAndRank(double slots, const std::vector<member_demand> &members,
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
    std::vector<std::vector<double>> memberSlots(members.size(), std::vector<double>(ranks, 0.0));
    for (std::size_t m = 0; m < members.size(); ++m) {
        for (std::size_t rank = 0; rank < std::min(ranks, members[m].byRank.size()); ++rank) {
            memberSlots[m][rank] = byRank[rank] > 0.0 ? granted[rank] * members[m].byRank[rank] / byRank[rank] : 0.0;
        }
    }
    return memberSlots;
}

std::vector<int> apportion(int total, const std::vector<double> &claims)
{
    const int count = static_cast<int>(claims.size());
    const int base = total >= count ? 1 : 0;
    const int remaining = total - base * count;
    const double sum = std::accumulate(claims.begin(), claims.end(), 0.0);
    std::vector<int> shares(claims.size(), base);
    std::vector<std::pair<double, std::size_t>> remainders;
    int assigned = 0;
    for (std::size_t i = 0; i < claims.size(); ++i) {
        const double exactSlots = remaining * claims[i] / sum;
        const int wholeSlots = static_cast<int>(exactSlots);
        shares[i] += wholeSlots;
        assigned += wholeSlots;
        remainders.emplace_back(wholeSlots - exactSlots, i);
    }
    std::sort(remainders.begin(), remainders.end());
    for (int i = 0; i < remaining - assigned; ++i) {
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
        const double extra = std::min(left, demandByRank[rank] - granted[rank]);
        granted[rank] += extra;
        left -= extra;
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
    std::vector<double> claims;
    for (const auto &byRank : slotsByMemberAndRank(declaredSlots(service), members, guaranteedShares)) {
        claims.push_back(minClaimSlots + std::accumulate(byRank.begin(), byRank.end(), 0.0));
    }
    std::vector<int> left = apportion(declaredSlots(service), claims);
    std::vector<int> freeSlots;
    for (const auto &target : service.targets) {
        freeSlots.push_back(target.slots);
    }
    // Members take slots in turn, each at the target with most free slots, so that every member reaches many targets.
    bool isAnyAssigned = true;
    while (isAnyAssigned) {
        isAnyAssigned = false;
        for (std::size_t m = 0; m < members.size(); ++m) {
            const auto mostFree = std::max_element(freeSlots.begin(), freeSlots.end());
            if (left[m] == 0 || *mostFree == 0) {
                continue;
            }
            --left[m];
            --*mostFree;
            ++owned[static_cast<std::size_t>(mostFree - freeSlots.begin())][m];
            isAnyAssigned = true;
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
    std::vector<double> shares = slotsByMemberAndRank(slots, members, guaranteedShares)[member];
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
