#include "fleet/service_members.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <map>

namespace flamingofield {

namespace {

constexpr int slotsPerMember = 4; // Fewer would leave members that own no slot at all.
constexpr int minPerDataCentre = 2; // So that one may fail.
constexpr int maxPerDataCentre = 8;

} // namespace

int membersPerDataCentre(const service_spec &service, int dataCentres)
{
    const int wanted = declaredSlots(service) / slotsPerMember / std::max(dataCentres, 1);
    return std::clamp(wanted, minPerDataCentre, maxPerDataCentre);
}

std::vector<std::uint64_t> chooseMembers(const service_spec &service, const std::vector<node_info> &nodes)
{
    struct scored
    {
        double score;
        const node_info *node;
    };
    std::map<std::string, std::vector<scored>> byDataCentre;
    for (const auto &node : nodes) {
        if (!node.isLeaving) {
            // Hashes the address instead of the incarnation, so that a restart does not change the members.
            byDataCentre[node.dataCentre].push_back({rendezvousScore(service.name, toString(node.peerAddress)), &node});
        }
    }
    std::vector<const node_info *> chosen;
    const int wanted = membersPerDataCentre(service, static_cast<int>(byDataCentre.size()));
    for (auto &[dataCentre, candidates] : byDataCentre) {
        const auto count = std::min<std::size_t>(static_cast<std::size_t>(wanted), candidates.size());
        std::partial_sort(candidates.begin(), candidates.begin() + static_cast<long>(count), candidates.end(),
                          [](const auto &a, const auto &b) { return a.score > b.score; });
        for (std::size_t i = 0; i < count; ++i) {
            chosen.push_back(candidates[i].node);
        }
    }
    std::sort(chosen.begin(), chosen.end(),
              [](const auto *a, const auto *b) { return toString(a->peerAddress) < toString(b->peerAddress); });
    std::vector<std::uint64_t> incarnations;
    for (const auto *node : chosen) {
        incarnations.push_back(node->incarnation);
    }
    return incarnations;
}

} // namespace flamingofield
