#pragma once

#include "config/settings.hpp"
#include "core/error.hpp"

#include <memory>

namespace flamingofield {

/// One node of the fleet: the request path and the control plane of an entry VM.
class node
{
public:
    explicit node(settings configuration);
    ~node();
    node(const node &) = delete;
    node &operator=(const node &) = delete;

    /// Binds all addresses; requests are served as soon as a configuration has been accepted.
    /// @return the error of the first step that failed
    result<void> start();

    /// Graceful stop: leaves the fleet, then serves until cached address answers have expired and no request is in flight,
    /// for which it waits at most 60 s.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace flamingofield
