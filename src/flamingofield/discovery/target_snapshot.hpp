#pragma once

#include "core/endpoint.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace flamingofield {

/// One backend server as it registered itself.
struct target_entry
{
    std::string id; ///< Sent with each request, so that a server that took over the address refuses it.
    std::string service;
    endpoint address;
    std::string dataCentre;
    int slots = 1; ///< Requests that it runs at the same time.
    bool isDraining = false;
    std::int64_t startedAtMs = 0; ///< Unix time of the process's start; tells incarnations with one id apart.
    milliseconds coldFor{0}; ///< How much longer it is slow after its start, when the entry was read.
};

/// All registered targets as of one revision of the registry.
struct target_snapshot
{
    std::uint64_t revision = 0; ///< Registry's revision at the read; later reads have higher ones.
    std::vector<target_entry> targets; ///< Sorted by id.
};

/// Hash of what matters for routing: ids, incarnations, addresses, slots, states; not the revision.
std::uint64_t digestOf(const target_snapshot &snapshot);

/// Keeps targets that vanished from the registry while it was unavailable, until they had time to register again.
class missing_target_guard
{
public:
    /// Registrations that expired during an outage are renewed within this time after it; from the platform's contract.
    static constexpr milliseconds renewalTime{2000};

    /// @param heartbeat interval at which targets renew their registration; it expires after three of them
    explicit missing_target_guard(milliseconds heartbeat = milliseconds(1500))
        : m_shortestExpiry(heartbeat * 2 - heartbeat / 3)
    {
    }

    /// Notes that a complete snapshot came from another node, which applies the same rule.
    void snapshotAdopted(instant now);

    /// Adds the targets that may be alive though the read does not show them.
    /// @param previous last snapshot that was in use
    /// @param read what the registry returned, sorted by id
    target_snapshot complete(const target_snapshot &previous, target_snapshot read, instant now);

private:
    /// Outages that are shorter than this let no registration expire: the last renewal lies at most one heartbeat before them.
    milliseconds m_shortestExpiry;
    instant m_lastRead{};
    instant m_holdUntil{};
};

} // namespace flamingofield
