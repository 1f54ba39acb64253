#pragma once

#include "control/config_manager.hpp"
#include "control/control_plane.hpp"
#include "control/service_table.hpp"
#include "fleet/membership.hpp"

#include <string>

namespace flamingofield {

/// State that the status page shows.
struct status_inputs
{
    const control_context &context;
    const config_manager &configManager;
    const service_table &services;
    const membership &members;
    bool isServing = false;
    bool isReader = false; ///< This node reads the store for its data centre.
};

/// Encodes a node's state as JSON.
std::string encodeStatus(const status_inputs &source, instant now);

} // namespace flamingofield
