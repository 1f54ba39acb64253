#pragma once

#include "config/settings.hpp"
#include "core/error.hpp"
#include "gate/fleet_snapshot.hpp"
#include "idempotency/outcome_store.hpp"
#include "outlier/inflight_table.hpp"
#include "outlier/observation.hpp"
#include "report/counters.hpp"
#include "report/service_metrics.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace flamingofield {

/// Settings, and the objects that the control plane shares with the request threads.
struct control_context
{
    settings configuration;
    std::uint64_t incarnation = 0;
    snapshot_holder &snapshots;
    outcome_store &outcomes;
    observation_queue &observations;
    inflight_table &inflight;
    service_metrics &metrics;
    counter_table &counters;
};

/// Runs membership, configuration updates and outlier detection of one node as CAF actors on one scheduler thread.
class control_plane
{
public:
    explicit control_plane(control_context context);
    ~control_plane();
    control_plane(const control_plane &) = delete;
    control_plane &operator=(const control_plane &) = delete;

    /// Starts the actors and listens for peers.
    /// @return nothing, or an error of step "listen"
    result<void> start();

    /// Marks this node as leaving; all nodes drop it from their address answers within seconds.
    void leave();

    /// State of this node as JSON, for operators; empty if the control actor does not answer within 2 seconds.
    std::string status();

    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace flamingofield
