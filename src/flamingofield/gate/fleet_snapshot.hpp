#pragma once

#include "admit/service_gate.hpp"
#include "config/operator_text.hpp"
#include "config/route_table.hpp"
#include "core/endpoint.hpp"

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace flamingofield {

/// An entry VM as callers and request threads need it.
struct member_view
{
    endpoint address; ///< Where it serves callers.
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    std::uint32_t epoch = 0; ///< Of the keys it issues, as of epochAt.
    instant epochAt;
};

/// A service as request threads need it.
struct service_view
{
    int number = 0; ///< Process-wide, the same for the life of the process.
    std::shared_ptr<service_gate> gate;
    std::vector<endpoint> targets; ///< By index in the gate.
    std::vector<member_view> members; ///< In the order in which callers should use them.
    bool isMember = false; ///< This node connects to the service's targets.
    duration attemptLimit = milliseconds(1000); ///< After this an attempt is late, and an idempotent one is repeated elsewhere.
};

/// Everything that request threads read, published as a whole and never changed.
struct fleet_snapshot
{
    std::shared_ptr<const operator_text> text;
    std::shared_ptr<const route_table> routes;
    std::uint64_t revision = 0; ///< Store revision of the text.
    std::vector<service_view> services; ///< As in the text.
    std::unordered_map<std::uint64_t, member_view> nodes; ///< Live nodes by incarnation, without this one.
    bool isLeaving = false;
};

/// Holds the snapshot in force; thread-safe.
class snapshot_holder
{
public:
    std::shared_ptr<const fleet_snapshot> get() const
    {
        return std::atomic_load(&m_snapshot);
    }

    void publish(std::shared_ptr<const fleet_snapshot> snapshot)
    {
        std::atomic_store(&m_snapshot, std::move(snapshot));
    }

private:
    std::shared_ptr<const fleet_snapshot> m_snapshot;
};

} // namespace flamingofield
