#pragma once

#include "core/endpoint.hpp"
#include "core/time.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingofield {

using tcp_socket = boost::asio::ip::tcp::socket;

/// Idle connections to one kind of peer, by a key that names the process behind the address.
class connection_pool
{
public:
    /// Puts an idle connection back.
    /// @param usableFor how long the peer keeps it open
    void put(const std::string &key, tcp_socket socket, duration usableFor, instant now);

    /// Takes the most recently used connection that has been idle for less than a bound and has no byte to read.
    /// @return how long the connection was idle, or nothing if there is none
    std::optional<duration> take(const std::string &key, duration longestIdle, instant now, tcp_socket &socket);

    /// Closes all connections of a key, as after one of them broke.
    void drop(const std::string &key);

    /// Closes connections whose time is over.
    void expire(instant now);

    std::size_t size() const;

private:
    struct idle_connection
    {
        tcp_socket socket;
        instant idleSince{};
        instant usableUntil{};
    };
    std::map<std::string, std::vector<idle_connection>> m_idle;
};

/// True if the peer has closed the connection or sent bytes that nobody asked for.
bool hasPendingInput(tcp_socket &socket);

/// Sets what all connections of a node have in common: no delay, and an end when sent bytes stay unacknowledged.
/// @param unacknowledged time after which the kernel gives the connection up
void setSocketOptions(tcp_socket &socket, milliseconds unacknowledged);

} // namespace flamingofield
