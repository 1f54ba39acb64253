#pragma once

#include "core/endpoint.hpp"
#include "core/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingofield {

using tcp_socket = boost::asio::ip::tcp::socket;

/// An open connection and the requests that were sent on it.
struct peer_connection
{
    explicit peer_connection(boost::asio::io_context &loop)
        : socket(loop)
    {
    }

    tcp_socket socket;
    std::vector<std::uint64_t> sentRequests; ///< Hashes of the ids of requests with an id.
};

/// Pool of idle connections, by a key that identifies the process behind the address.
///
/// A peer in trouble may send an earlier answer on a connection once more, where the answer to the next request is due. Only the
/// request's id tells them apart, so a connection is never reused for a request that it has carried.
class connection_pool
{
public:
    /// Requests with an id after which a connection is closed, which bounds the memory of their ids.
    static constexpr std::size_t maxRequestsPerConnection = 256;

    /// Adds an idle connection; at the limit for its key, the oldest one is closed.
    /// @param keepAliveTime time from now for which it may be reused
    void put(const std::string &key, peer_connection connection, duration keepAliveTime, instant now);

    /// Takes the most recently used connection that has been idle for less than a bound, has no byte to read and has not carried a
    /// request.
    /// @param request hash of the id of the request to be sent; nothing if it has none
    /// @return how long the connection was idle, or nothing if there is none
    std::optional<duration> take(const std::string &key, duration maxIdleTime, std::optional<std::uint64_t> request, instant now,
                                 peer_connection &connection);

    /// Closes all connections of a key, as after one of them failed.
    void closeAll(const std::string &key);

    /// Closes connections whose keep-alive time has passed.
    void closeExpired(instant now);

    std::size_t size() const;

private:
    struct idle_connection
    {
        peer_connection connection;
        instant idleSince{};
        instant usableUntil{};
    };
    std::map<std::string, std::vector<idle_connection>> m_idle;
};

/// True if the peer has closed the connection or sent unexpected bytes.
/// @param socket descriptor of a connected socket
bool hasPendingInput(int socket);

/// Number of bytes that were sent and that the peer's system has not acknowledged; zero if it cannot be told.
/// @param socket descriptor of a connected socket
std::size_t unacknowledgedBytes(int socket);

/// Sets TCP_NODELAY and TCP_USER_TIMEOUT.
/// @param unacknowledgedTimeout the kernel ends the connection when sent bytes stay unacknowledged for this long
void setSocketOptions(tcp_socket &socket, milliseconds unacknowledgedTimeout);

} // namespace flamingofield
