#pragma once

#include "core/endpoint.hpp"
#include "core/time.hpp"
#include "store/store_position.hpp"

#include <cstdint>
#include <optional>
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
    std::uint64_t revision = 0; ///< Registry revision at the time of the read; it increases with each change within an era.
    std::vector<target_entry> targets; ///< Sorted by id.
    std::uint64_t era = 0; ///< Of the revision, see store_position.

    store_position position() const
    {
        return {era, revision};
    }
};

/// A target that has left: it drains or is no longer registered.
struct target_departure
{
    std::string id;
    std::int64_t startedAtMs = 0; ///< Of its incarnation; earlier ones have left as well.
};

/// What a node knows of the targets, as its peers fetch it.
struct target_document
{
    target_snapshot registered; ///< As the registry listed them, or as the node uses them if missing is unset.
    /// Used although the registry does not list them, see known_targets; sorted by id. Unset if the node does not tell them from those
    /// that are listed, like nodes of earlier releases.
    std::optional<std::vector<target_entry>> missing;
    std::vector<target_departure> departures{}; ///< Of targets that are listed but not used, see known_targets.
};

/// Hash of the fields that matter for routing: ids, services, addresses, data centres, slots, states and incarnations; not of the
/// revision.
std::uint64_t digestOf(const target_snapshot &snapshot);

} // namespace flamingofield
