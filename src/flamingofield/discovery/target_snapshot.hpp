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
    std::string id; ///< Sent with each request, so that another server that reuses the address refuses it.
    std::string service;
    endpoint address;
    std::string dataCentre;
    int slots = 1; ///< Number of requests that it can run at the same time.
    bool isDraining = false;
    std::int64_t startedAtMs = 0; ///< Unix time of the process's start; distinguishes incarnations with the same id.
    milliseconds remainingWarmUp{0}; ///< At the time when the entry was read.
};

/// All registered targets as of one revision of the registry.
struct target_snapshot
{
    std::uint64_t revision = 0; ///< Registry revision at the time of the read; it increases with each change.
    std::vector<target_entry> targets; ///< Sorted by id.
};

/// Hash of the fields that matter for routing: ids, services, addresses, data centres, slots, states and incarnations; not of the
/// revision.
std::uint64_t digestOf(const target_snapshot &snapshot);

/// Keeps targets whose registrations expired while the registry was unavailable, until they have had time to register again.
class missing_target_guard
{
public:
    /// Time after an outage within which targets renew registrations that expired during it, according to the platform's contract.
    static constexpr milliseconds renewalTime{2000};

    /// @param heartbeat interval at which targets renew their registration; it expires after three of them
    explicit missing_target_guard(milliseconds heartbeat = milliseconds(1500))
        : m_minExpiryTime(heartbeat * 2 - heartbeat / 3)
    {
    }

    /// Records that a snapshot was applied from another node, which has completed it in the same way.
    void recordPeerSnapshot(instant now);

    /// Adds the targets that may be alive although the read does not list them.
    /// @param previous snapshot that was in use before the read
    /// @param read what the registry returned, sorted by id
    target_snapshot addMissingTargets(const target_snapshot &previous, target_snapshot read, instant now);

private:
    /// No registration can expire in an outage shorter than this: the last renewal was at most one heartbeat before it.
    milliseconds m_minExpiryTime;
    instant m_lastRead{};
    instant m_holdUntil{};
};

} // namespace flamingofield
