#pragma once

#include "control/config_manager.hpp"
#include "control/service_table.hpp"
#include "fleet/membership.hpp"
#include "gate/fleet_snapshot.hpp"

#include <memory>

namespace flamingofield {

/// Builds the snapshot that request threads read from the control plane's state. A configuration must be active.
std::shared_ptr<const fleet_snapshot> buildSnapshot(const config_manager &configManager, const service_table &services,
                                                    const membership &members, instant now);

} // namespace flamingofield
