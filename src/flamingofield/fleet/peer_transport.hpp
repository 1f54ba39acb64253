#pragma once

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/time.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace flamingofield {

/// Callbacks of a transport, called on its own threads.
struct transport_callbacks
{
    std::function<void(std::string bytes, std::string peer)> onMessage;
    std::function<void(endpoint peer)> onClosed;
};

/// One-way messages between nodes over nng: one listening socket, and one sending socket for each peer in use.
///
/// Sending never blocks: messages to a peer that does not read them are dropped once its queue is full.
class peer_transport
{
public:
    explicit peer_transport(transport_callbacks callbacks);
    ~peer_transport();
    peer_transport(const peer_transport &) = delete;
    peer_transport &operator=(const peer_transport &) = delete;

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
