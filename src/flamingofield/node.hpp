#pragma once

#include "config/settings.hpp"
#include "core/error.hpp"

#include <memory>

namespace flamingofield {

/// One entry VM: the request path and the control plane together.
class node
{
public:
    explicit node(settings configuration);
    ~node();
    node(const node &) = delete;
    node &operator=(const node &) = delete;

    /// Binds all addresses and starts to serve once a configuration is in force.
    result<void> start();

    /// Planned stop: leaves the fleet, serves until kept address answers have expired and nothing is in flight.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace flamingofield
