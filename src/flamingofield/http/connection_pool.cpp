#include "http/connection_pool.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace flamingofield {

namespace {

/// Idle connections kept for one key; more than a target's slots are of no use.
constexpr std::size_t mostIdlePerKey = 8;

} // namespace

bool hasPendingInput(tcp_socket &socket)
{
    char byte = 0;
    // Zero means the peer closed, a positive count stray bytes; only "would block" leaves the connection usable.
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void setSocketOptions(tcp_socket &socket, milliseconds unacknowledged)
{
    boost::system::error_code ignored; // A socket that refuses an option still works.
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    const auto timeout = static_cast<unsigned>(unacknowledged.count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

void connection_pool::put(const std::string &key, tcp_socket socket, duration usableFor, instant now)
{
    auto &idle = m_idle[key];
    if (idle.size() >= mostIdlePerKey) {
        idle.erase(idle.begin());
    }
    idle.push_back({std::move(socket), now, now + usableFor});
}

std::optional<duration> connection_pool::take(const std::string &key, duration longestIdle, instant now, tcp_socket &socket)
{
    const auto found = m_idle.find(key);
    if (found == m_idle.end()) {
        return std::nullopt;
    }
    auto &idle = found->second;
    while (!idle.empty()) {
        idle_connection &last = idle.back();
        if (now - last.idleSince >= longestIdle) {
            return std::nullopt; // All others have been idle for longer.
        }
        const duration idleFor = now - last.idleSince;
        const bool isUsable = now < last.usableUntil && !hasPendingInput(last.socket);
        if (isUsable) {
            socket = std::move(last.socket);
        }
        idle.pop_back();
        if (isUsable) {
            return idleFor;
        }
    }
    return std::nullopt;
}

void connection_pool::drop(const std::string &key)
{
    m_idle.erase(key);
}

void connection_pool::expire(instant now)
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
