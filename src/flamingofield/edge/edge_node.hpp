#pragma once

#include "edge/edge_settings.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace flamingofield {

/// One node on the platform: requests, addresses, readiness, peers and store reads on one event loop.
class edge_node
{
public:
    edge_node(boost::asio::io_context &loop, edge_settings settings, edge_surface surface, store_calls store);
    ~edge_node();
    edge_node(const edge_node &) = delete;
    edge_node &operator=(const edge_node &) = delete;

    /// Binds all addresses.
    result<void> start();

    /// Takes up settings that may change while the node runs: the retry budget and the grace period.
    void reload(const edge_settings &settings);

    /// Planned stop: not ready at once, serves what comes for a while, ends all in flight within the grace period, then
    /// stops the loop.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace flamingofield
