#pragma once

#include "control/config_keeper.hpp"
#include "control/control_plane.hpp"
#include "control/service_table.hpp"
#include "fleet/membership.hpp"

#include <string>

namespace flamingofield {

/// What a status page shows.
struct status_source
{
    const control_context &context;
    const config_keeper &config;
    const service_table &services;
    const membership &members;
    bool isServing = false;
    bool isReader = false;
};

/// Encodes a node's state as JSON.
std::string encodeStatus(const status_source &source, instant now);

} // namespace flamingofield
