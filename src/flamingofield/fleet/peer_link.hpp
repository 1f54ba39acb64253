#pragma once

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/time.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace flamingofield {

/// What a link tells its owner; called on threads of the link.
struct link_events
{
    std::function<void(std::string bytes, std::string peer)> received;
    std::function<void(endpoint peer)> closed;
};

/// One-way messages between nodes over nng: one listening socket, and one sending socket for each peer in use.
///
/// Sending never waits: while a peer is slow or frozen, its messages are dropped once its queue is full.
class peer_link
{
public:
    explicit peer_link(link_events events);
    ~peer_link();
    peer_link(const peer_link &) = delete;
    peer_link &operator=(const peer_link &) = delete;

    /// @return nothing, or an error of step "listen"
    result<void> listen(const endpoint &address);

    /// Sends a message, dialling the peer if needed.
    /// @return false if it was dropped
    bool send(const endpoint &peer, std::string_view bytes);

    /// Closes sockets to peers that have not been sent to for a while.
    void closeIdle(instant now);

    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace flamingofield
