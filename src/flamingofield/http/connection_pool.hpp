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

/// Pool of idle connections, by a key that identifies the process behind the address.
class connection_pool
{
public:
    /// Adds an idle connection; at the limit for its key, the oldest one is closed.
    /// @param keepAliveTime time from now for which it may be reused
    void put(const std::string &key, tcp_socket socket, duration keepAliveTime, instant now);

    /// Takes the most recently used connection that has been idle for less than a bound and has no byte to read.
    /// @return how long the connection was idle, or nothing if there is none
    std::optional<duration> take(const std::string &key, duration maxIdleTime, instant now, tcp_socket &socket);

    /// Closes all connections of a key, as after one of them failed.
    void closeAll(const std::string &key);

    /// Closes connections whose keep-alive time has passed.
    void closeExpired(instant now);

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

/// True if the peer has closed the connection or sent unexpected bytes.
bool hasPendingInput(tcp_socket &socket);

/// Sets TCP_NODELAY and TCP_USER_TIMEOUT.
/// @param unacknowledgedTimeout the kernel ends the connection when sent bytes stay unacknowledged for this long
void setSocketOptions(tcp_socket &socket, milliseconds unacknowledgedTimeout);

} // namespace flamingofield
