#include "gate/buffered_stream.hpp"

#include <poll.h>

#include <algorithm>

namespace flamingofield {

namespace {

constexpr int readTimeoutMs = 5000;
constexpr int writeTimeoutMs = 5000;

bool pollSocket(int fd, short events, int timeoutMs)
{
    pollfd p{fd, events, 0};
    int ready = 0;
    do {
        ready = ::poll(&p, 1, timeoutMs);
    } while (ready < 0 && errno == EINTR);
    return ready > 0;
}

} // namespace

bool waitUntilReadable(int fd)
{
    return pollSocket(fd, POLLIN, readTimeoutMs);
}

buffered_stream::buffered_stream(int fd, std::string remoteHost)
    : m_fd(fd)
    , m_remoteHost(std::move(remoteHost))
{
}

void buffered_stream::push(std::string_view bytes)
{
    m_buffer.erase(0, m_offset);
    m_offset = 0;
    m_buffer.append(bytes);
}

std::string_view buffered_stream::buffered() const
{
    return std::string_view(m_buffer).substr(m_offset);
}

bool buffered_stream::is_readable() const
{
    return !buffered().empty() || waitUntilReadable(m_fd);
}

bool buffered_stream::is_writable() const
{
    return pollSocket(m_fd, POLLOUT, writeTimeoutMs);
}

ssize_t buffered_stream::read(char *ptr, size_t size)
{
    if (buffered().empty()) {
        return waitUntilReadable(m_fd) ? ::recv(m_fd, ptr, size, 0) : -1;
    }
    const std::size_t count = std::min(size, buffered().size());
    std::copy_n(buffered().data(), count, ptr);
    m_offset += count;
    return static_cast<ssize_t>(count);
}

ssize_t buffered_stream::write(const char *ptr, size_t size)
{
    return is_writable() ? ::send(m_fd, ptr, size, MSG_NOSIGNAL) : -1;
}

void buffered_stream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    ip = m_remoteHost;
    port = 0;
}

void buffered_stream::get_local_ip_and_port(std::string &ip, int &port) const
{
    ip.clear();
    port = 0;
}

socket_t buffered_stream::socket() const
{
    return m_fd;
}

} // namespace flamingofield
