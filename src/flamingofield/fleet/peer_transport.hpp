#pragma once

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/time.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace flamingofield {

/// Callbacks of a link, called on its own threads.
struct link_events
{
    std::function<void(std::string bytes, std::string peer)> onMessage;
    std::function<void(endpoint peer)> onClosed;
};

/// One-way messages between nodes over nng: one listening socket, and one sending socket for each peer in use.
///
/// Sending never blocks: messages to a peer that does not read them are dropped once its queue is full.
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

    /// Closes sockets to peers that nothing was sent to within the idle timeout.
    void closeIdle(instant now);

    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace flamingofield
