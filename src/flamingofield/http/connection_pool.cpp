#include "http/connection_pool.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace flamingofield {

namespace {

/// Idle connections kept for one key; more than a target has slots would never be used.
constexpr std::size_t maxIdlePerKey = 8;

} // namespace

bool hasPendingInput(int socket)
{
    char byte = 0;
    // Zero: the peer has closed. Positive: unexpected bytes. Only "would block" means that the connection is usable.
    const auto count = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

std::size_t unacknowledgedBytes(int socket)
{
    int bytes = 0;
    return ::ioctl(socket, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

void setSocketOptions(tcp_socket &socket, milliseconds unacknowledgedTimeout)
{
    boost::system::error_code ignored; // The connection also works without the option.
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    const auto timeout = static_cast<unsigned>(unacknowledgedTimeout.count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

void connection_pool::put(const std::string &key, peer_connection connection, duration keepAliveTime, instant now)
{
    if (connection.sentRequests.size() >= maxRequestsPerConnection) {
        return;
    }
    auto &idle = m_idle[key];
    if (idle.size() >= maxIdlePerKey) {
        idle.erase(idle.begin());
    }
    idle.push_back({std::move(connection), now, now + keepAliveTime});
}

std::optional<duration> connection_pool::take(const std::string &key, duration maxIdleTime, std::optional<std::uint64_t> request,
                                              instant now, peer_connection &connection)
{
    const auto found = m_idle.find(key);
    if (found == m_idle.end()) {
        return std::nullopt;
    }
    auto &idle = found->second;
    for (auto position = idle.end(); position != idle.begin();) {
        --position;
        const duration idleTime = now - position->idleSince;
        if (idleTime >= maxIdleTime) {
            return std::nullopt; // All others have been idle for longer.
        }
        const auto &sent = position->connection.sentRequests;
        if (request && std::find(sent.begin(), sent.end(), *request) != sent.end()) {
            continue;
        }
        const bool isUsable = now < position->usableUntil && !hasPendingInput(position->connection.socket.native_handle());
        if (isUsable) {
            connection = std::move(position->connection);
        }
        position = idle.erase(position);
        if (isUsable) {
            return idleTime;
        }
    }
    return std::nullopt;
}

void connection_pool::closeAll(const std::string &key)
{
    m_idle.erase(key);
}

void connection_pool::closeExpired(instant now)
{
    for (auto position = m_idle.begin(); position != m_idle.end();) {
        auto &idle = position->second;
        idle.erase(std::remove_if(idle.begin(), idle.end(), [&](const auto &connection) { return now >= connection.usableUntil; }),
                   idle.end());
        position = idle.empty() ? m_idle.erase(position) : std::next(position);
    }
}

std::size_t connection_pool::size() const
{
    std::size_t count = 0;
    for (const auto &[key, idle] : m_idle) {
        count += idle.size();
    }
    return count;
}

} // namespace flamingofield
