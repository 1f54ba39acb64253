#include "raw_answer_server.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace standins {

using flamingofield::endpoint;
using flamingofield::error;

namespace {

constexpr int pollMs = 50;

sockaddr_in toSocketAddress(const endpoint &e)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(e.port);
    inet_pton(AF_INET, e.host.c_str(), &address.sin_addr);
    return address;
}

bool isReadable(int fd, int timeoutMs)
{
    pollfd p{fd, POLLIN, 0};
    return ::poll(&p, 1, timeoutMs) > 0;
}

} // namespace

raw_answer_server::raw_answer_server(std::string answer, bool closesAfterAnswer)
    : m_answer(std::move(answer))
    , m_closesAfterAnswer(closesAfterAnswer)
{
}

raw_answer_server::~raw_answer_server()
{
    m_isStopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
    if (m_listener >= 0) {
        ::close(m_listener);
    }
}

flamingofield::result<void> raw_answer_server::start(const endpoint &address)
{
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int isEnabled = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &isEnabled, sizeof isEnabled);
    const sockaddr_in bound = toSocketAddress(address);
    if (::bind(m_listener, reinterpret_cast<const sockaddr *>(&bound), sizeof bound) != 0 || ::listen(m_listener, 64) != 0) {
        return error{"listen", toString(address), std::strerror(errno)};
    }
    m_thread = std::thread([this] { acceptLoop(); });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void raw_answer_server::acceptLoop()
{
    while (!m_isStopping) {
        if (!isReadable(m_listener, pollMs)) {
            continue;
        }
        const int connection = ::accept(m_listener, nullptr, nullptr);
        if (connection >= 0) {
            serve(connection);
            ::close(connection);
        }
    }
}

void raw_answer_server::serve(int connection)
{
    char bytes[8192];
    std::string head;
    while (!m_isStopping && isReadable(connection, pollMs)) {
        const ssize_t count = ::recv(connection, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return;
        }
        head.append(bytes, static_cast<std::size_t>(count));
        if (head.find("\r\n\r\n") == std::string::npos) {
            continue;
        }
        head.clear();
        ::send(connection, m_answer.data(), m_answer.size(), MSG_NOSIGNAL);
        if (m_closesAfterAnswer) {
            ::shutdown(connection, SHUT_WR);
            return;
        }
    }
}

std::string exchangeRaw(const endpoint &address, const std::string &bytes, int timeoutMs)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in peer = toSocketAddress(address);
    std::string answer;
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) == 0) {
        ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        char part[8192];
        while (isReadable(fd, timeoutMs)) {
            const ssize_t count = ::recv(fd, part, sizeof part, 0);
            if (count <= 0) {
                break;
            }
            answer.append(part, static_cast<std::size_t>(count));
        }
    }
    ::close(fd);
    return answer;
}

} // namespace standins
