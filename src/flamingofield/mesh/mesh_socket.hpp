#pragma once

#include "core/endpoint.hpp"
#include "mesh/mesh_message.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace flamingofield {

/// Datagrams between nodes. State is told again and again, so that a lost datagram needs no repetition and a silent link
/// blocks nobody; that is why these messages do not use the library's connection-oriented sockets.
class mesh_socket
{
public:
    using handler = std::function<void(const mesh_message &)>;

    mesh_socket(boost::asio::io_context &loop, handler onMessage);
    ~mesh_socket();
    mesh_socket(const mesh_socket &) = delete;
    mesh_socket &operator=(const mesh_socket &) = delete;

    /// Binds the address.
    /// @return an error of step "bind" if it is taken
    result<void> start(const endpoint &address);

    /// Sends without waiting; a datagram that does not fit into the link is lost.
    void send(const endpoint &peer, const std::string &bytes);

private:
    struct state;

    void receive();

    std::shared_ptr<state> m_state;
};

} // namespace flamingofield
