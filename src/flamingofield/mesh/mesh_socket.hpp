#pragma once

#include "core/endpoint.hpp"
#include "mesh/mesh_message.hpp"
#include "mesh/usage_message.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <variant>

namespace flamingofield {

/// What one datagram between nodes holds.
using mesh_datagram = std::variant<mesh_message, usage_message>;

/// UDP socket for messages between nodes. Every message carries the sender's current state, so a lost datagram needs no
/// retransmission and a dead link blocks no other; that is why the messages do not use connection-oriented sockets.
class mesh_socket
{
public:
    using handler = std::function<void(const mesh_datagram &)>;

    mesh_socket(boost::asio::io_context &loop, handler onMessage);
    ~mesh_socket();
    mesh_socket(const mesh_socket &) = delete;
    mesh_socket &operator=(const mesh_socket &) = delete;

    /// Binds the address and starts to receive.
    /// @return an error of step "bind" if the address is invalid or taken
    result<void> start(const endpoint &address);

    /// Sends without blocking; the datagram is dropped if the socket's buffer is full or the send fails.
    void send(const endpoint &peer, const std::string &bytes);

private:
    struct state;

    void receive();

    std::shared_ptr<state> m_state;
};

} // namespace flamingofield
