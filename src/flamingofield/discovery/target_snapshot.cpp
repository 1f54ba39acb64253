#include "discovery/target_snapshot.hpp"

#include "core/hash.hpp"

#include <algorithm>

namespace flamingofield {

std::uint64_t digestOf(const target_snapshot &snapshot)
{
    std::uint64_t digest = 0;
    for (const auto &target : snapshot.targets) {
        const std::string row = target.id + "|" + target.service + "|" + toString(target.address) + "|" + target.dataCentre + "|"
            + std::to_string(target.slots) + (target.isDraining ? "|draining|" : "|ready|") + std::to_string(target.startedAtMs);
        digest = hashOf(row, digest);
    }
    return digest;
}

void missing_target_guard::recordPeerSnapshot(instant now)
{
    m_lastRead = now;
}

target_snapshot missing_target_guard::addMissingTargets(const target_snapshot &previous, target_snapshot read, instant now)
{
    if (m_lastRead != instant{} && now - m_lastRead > m_minExpiryTime) {
        m_holdUntil = now + renewalTime;
    }
    m_lastRead = now;
    if (now >= m_holdUntil) {
        return read;
    }
    const auto byId = [](const target_entry &a, const target_entry &b) { return a.id < b.id; };
    std::vector<target_entry> missing;
    for (const auto &target : previous.targets) {
        const auto reused
            = std::any_of(read.targets.begin(), read.targets.end(), [&](const auto &row) { return row.address == target.address; });
        // A draining target has left intentionally, and a reused address shows that its former target has ended.
        if (!target.isDraining && !reused && !std::binary_search(read.targets.begin(), read.targets.end(), target, byId)) {
            missing.push_back(target);
        }
    }
    read.targets.insert(read.targets.end(), missing.begin(), missing.end());
    std::sort(read.targets.begin(), read.targets.end(), byId);
    return read;
}

} // namespace flamingofield
