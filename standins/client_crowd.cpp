#include "client_crowd.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <thread>

namespace standins {

namespace {

/// Longer than any pause of a node that still reads or writes.
constexpr timeval socketTimeout{2, 0};

} // namespace

crowd_connection::crowd_connection(const flamingofield::endpoint &address, int receiveBuffer)
    : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
{
    ::setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &socketTimeout, sizeof socketTimeout);
    ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &socketTimeout, sizeof socketTimeout);
    if (receiveBuffer > 0) {
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    }
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.host.c_str(), &peer.sin_addr);
    // Without a connection, each send and receive fails.
    (void)::connect(m_socket, reinterpret_cast<const sockaddr *>(&peer), sizeof peer);
}

crowd_connection::~crowd_connection()
{
    ::close(m_socket);
}

bool crowd_connection::send(const std::string &bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool crowd_connection::sendRepeated(const std::string &bytes, std::size_t total) const
{
    while (total >= bytes.size()) {
        if (!send(bytes)) {
            return false;
        }
        total -= bytes.size();
    }
    return send(bytes.substr(0, total));
}

bool crowd_connection::receive(std::size_t most) const
{
    std::array<char, 4096> bytes{};
    return ::recv(m_socket, bytes.data(), std::min(most, bytes.size()), 0) > 0;
}

client_crowd::client_crowd(const flamingofield::endpoint &address, std::size_t clients, const script &run, int receiveBuffer)
    : m_running(clients)
    , m_released(m_release.get_future().share())
{
    for (std::size_t i = 0; i < clients; ++i) {
        m_clients.push_back(std::async(std::launch::async, [this, address, run, receiveBuffer] {
            const crowd_connection connection(address, receiveBuffer);
            run(connection);
            --m_running;
            m_released.wait();
        }));
    }
}

client_crowd::~client_crowd()
{
    m_release.set_value();
}

void client_crowd::awaitScripts() const
{
    while (m_running > 0) {
        std::this_thread::sleep_for(flamingofield::milliseconds(5));
    }
}

} // namespace standins
