#pragma once

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/time.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace flamingofield {

/// Callbacks of a transport, called on its own threads, one at a time. They must not block.
struct transport_callbacks
{
    std::function<void(std::string bytes, std::string peer)> onMessage;
    std::function<void(endpoint peer)> onClosed;
};

/// One-way messages between nodes over nng: one listening socket, and one sending socket for each peer in use.
///
/// Sending never blocks: messages to a peer that does not read them are dropped once its queue is full. Sockets are closed on a thread of
/// their own, because nng_close() waits for the library's threads and may not return.
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

    /// Closes sockets to peers that nothing was sent to within the idle timeout; does not wait until they are closed.
    void closeIdle(instant now);

    /// Stops receiving and sending, and closes all sockets. No callback is called afterwards.
    /// @return false if they were not closed within 2 s; they then stay open until the process ends
    bool stop();

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace flamingofield
