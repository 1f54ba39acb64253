#pragma once

#include "admission/admission_controller.hpp"
#include "config/operator_config.hpp"
#include "config/route_table.hpp"
#include "core/endpoint.hpp"

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace flamingofield {

/// What request threads and callers need to know about another node.
struct node_view
{
    endpoint address; ///< Address at which it serves callers.
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    std::uint32_t epoch = 0; ///< Epoch of its idempotency keys at epochAt; grows by one each second.
    instant epochAt;
};

/// What request threads need to know about a service.
struct service_view
{
    int number = 0; ///< Identifies the service for the life of the process.
    std::shared_ptr<admission_controller> admission;
    std::vector<endpoint> targets; ///< In the order of the admission controller's target indexes.
    std::vector<node_view> members; ///< In the order in which callers should use them.
    bool isMember = false; ///< True if this node connects to the service's targets itself.
    duration attemptTimeout
        = milliseconds(1000); ///< After this an attempt counts as slow, and an idempotent request is retried on another target.
};

/// Immutable state that request threads read; replaced as a whole.
struct fleet_snapshot
{
    std::shared_ptr<const operator_config> config;
    std::shared_ptr<const route_table> routes;
    std::uint64_t revision = 0; ///< Revision of the text in the configuration store.
    std::vector<service_view> services; ///< In the order of the text.
    std::unordered_map<std::uint64_t, node_view> nodes; ///< Other live nodes, by incarnation.
    bool isLeaving = false;
};

/// Holds the current snapshot; thread-safe.
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
