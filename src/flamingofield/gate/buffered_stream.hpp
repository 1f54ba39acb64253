#pragma once

#include <httplib.h>

#include <string>
#include <string_view>

namespace flamingofield {

/// Waits until a socket is readable.
/// @return false after 5 s without input
bool waitUntilReadable(int fd);

/// Stream over a socket that first yields bytes already read from it.
class buffered_stream : public httplib::Stream
{
public:
    buffered_stream(int fd, std::string remoteHost);

    /// Adds bytes to be read before those of the socket.
    void push(std::string_view bytes);

    /// Bytes pushed and not yet read.
    std::string_view buffered() const;

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char *ptr, size_t size) override;
    ssize_t write(const char *ptr, size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    socket_t socket() const override;

private:
    int m_fd;
    std::string m_remoteHost;
    std::string m_buffer;
    std::size_t m_offset = 0;
};

} // namespace flamingofield
