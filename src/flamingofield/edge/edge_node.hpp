#pragma once

#include "edge/edge_settings.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace flamingofield {

/// One entry node on the platform. Serves requests, directory look-ups, readiness probes, peers and metrics on one event loop.
class edge_node
{
public:
    edge_node(boost::asio::io_context &loop, edge_settings settings, edge_http_interface httpInterface, store_calls store);
    ~edge_node();
    edge_node(const edge_node &) = delete;
    edge_node &operator=(const edge_node &) = delete;

    /// Binds all listen addresses and starts the periodic work.
    /// @return the first error; its step is "bind" or "listen" and its peer the address
    result<void> start();

    /// Applies the settings that may change while the node runs: the retry budget, the floor share and the grace period.
    void reload(const edge_settings &settings);

    /// Starts a planned stop: the node reports not ready at once, still accepts requests for a while, completes or aborts those in
    /// flight within the grace period, then stops the event loop. Later calls have no effect.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace flamingofield
