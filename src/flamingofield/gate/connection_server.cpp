#include "gate/connection_server.hpp"

#include "core/listen_backlog.hpp"
#include "core/time.hpp"
#include "gate/buffered_stream.hpp"
#include "gate/request_head.hpp"

#include <httplib.h>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <set>
#include <thread>
#include <unordered_map>

namespace flamingofield {

namespace {

constexpr int epollTimeoutMs = 100;
constexpr int drainTimeoutMs = 10000;
constexpr int maxEpollEvents = 128;

std::string remoteHostOf(int fd)
{
    sockaddr_in address{};
    socklen_t length = sizeof address;
    char text[INET_ADDRSTRLEN] = "";
    if (::getpeername(fd, reinterpret_cast<sockaddr *>(&address), &length) == 0) {
        inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
    }
    return text;
}

std::string problemResponse(int status, std::string_view outcome, std::string_view reason)
{
    const std::string body = "{\"type\":\"about:blank\",\"status\":" + std::to_string(status) + ",\"outcome\":\"" + std::string(outcome)
        + "\",\"detail\":\"" + std::string(reason) + "\"}";
    return "HTTP/1.1 " + std::to_string(status) + " Refused\r\nContent-Type: application/problem+json\r\nConnection: close\r\n"
        + "Retry-After: 1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Writes a short answer without blocking, and closes the connection.
void answerAndClose(int fd, int status, std::string_view outcome, std::string_view reason)
{
    const std::string text = problemResponse(status, outcome, reason);
    [[maybe_unused]] const auto sent = ::send(fd, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    // Closing with unread bytes would send a reset, which can discard the answer before the caller reads it.
    ::shutdown(fd, SHUT_WR);
    char rest[4096];
    while (::recv(fd, rest, sizeof rest, MSG_DONTWAIT) > 0) { }
    ::close(fd);
}

/// Runs each task on the accepting thread, as the tasks only hand over a socket.
class inline_queue : public httplib::TaskQueue
{
public:
    void enqueue(std::function<void()> fn) override
    {
        fn();
    }
    void shutdown() override { }
};

http_request readRequest(const httplib::Request &req)
{
    http_request request;
    request.method = req.method;
    request.path = req.path;
    request.target = req.target;
    request.body = req.body;
    request.contentType = req.get_header_value("Content-Type");
    request.remoteHost = req.remote_addr;
    request.parameters.insert(req.params.begin(), req.params.end());
    request.headers.insert(req.headers.begin(), req.headers.end());
    return request;
}

} // namespace

std::string http_request::header(const std::string &name) const
{
    for (const auto &[key, value] : headers) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return {};
}

std::string http_request::parameter(const std::string &name) const
{
    const auto found = parameters.find(name);
    return found == parameters.end() ? std::string() : found->second;
}

class connection_server::implementation : public httplib::Server
{
public:
    implementation(connection_limits limits, handler handle)
        : m_limits(limits)
        , m_handle(std::move(handle))
        , m_epoll(::epoll_create1(EPOLL_CLOEXEC))
    {
        new_task_queue = [] { return new inline_queue; };
        set_tcp_nodelay(true);
        set_payload_max_length(limits.bodyBytes);
        set_socket_options([](socket_t sock) {
            const int yes = 1;
            ::setsockopt(sock, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        });
        const auto serve = [this](const httplib::Request &req, httplib::Response &res) { handleRequest(req, res); };
        Get(".*", serve).Post(".*", serve).Put(".*", serve).Patch(".*", serve).Delete(".*", serve);
        set_error_handler([](const httplib::Request &, httplib::Response &res) { writeLibraryError(res); });
    }

    ~implementation() override
    {
        stopAndDrain();
        ::close(m_epoll);
    }

    result<std::uint16_t> start(const endpoint &address)
    {
        int port = address.port;
        if (port == 0) {
            port = bind_to_any_port(address.host);
        } else if (!bind_to_port(address.host, port)) {
            port = -1;
        }
        if (port < 0) {
            return error{"listen", toString(address), std::strerror(errno)};
        }
        // The library listens with its own, short accept queue; listening again replaces its length.
        if (::listen(svr_sock_, listenBacklog) != 0) {
            return error{"listen", toString(address), std::strerror(errno)};
        }
        m_accepting = std::thread([this] { listen_after_bind(); });
        m_polling = std::thread([this] { pollLoop(); });
        return static_cast<std::uint16_t>(port);
    }

    void stopAndDrain()
    {
        if (m_stopping.exchange(true)) {
            return;
        }
        httplib::Server::stop();
        if (m_accepting.joinable()) {
            m_accepting.join();
        }
        if (m_polling.joinable()) {
            m_polling.join();
        }
        std::unique_lock lock(m_mutex);
        m_workFinished.wait_for(lock, milliseconds(drainTimeoutMs), [this] { return m_readyConnections.empty() && m_busyThreads == 0; });
        m_readyConnections.clear();
        m_workAvailable.notify_all();
        m_workFinished.wait(lock, [this] { return m_threads == 0; });
        for (const auto &[fd, watched] : m_watched) {
            ::close(fd);
        }
        m_watched.clear();
    }

    connection_counts counts() const
    {
        const std::lock_guard lock(m_mutex);
        connection_counts counts = m_counts;
        counts.open = m_watched.size() + m_readyConnections.size() + m_busyThreads;
        return counts;
    }

private:
    struct watched_connection
    {
        instant since;
        bool hasBytes = false;
    };

    bool process_and_close_socket(socket_t sock) override
    {
        watch(sock);
        return true;
    }

    void watch(int fd)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_stopping || m_watched.size() >= m_limits.connections) {
                ++m_counts.refused;
                ::close(fd);
                return;
            }
            m_watched[fd] = {std::chrono::steady_clock::now(), false};
        }
        epoll_event event{};
        event.events = EPOLLIN | EPOLLRDHUP | EPOLLET;
        event.data.fd = fd;
        ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, fd, &event);
    }

    void unwatch(int fd)
    {
        ::epoll_ctl(m_epoll, EPOLL_CTL_DEL, fd, nullptr);
        const std::lock_guard lock(m_mutex);
        m_watched.erase(fd);
    }

    void pollLoop()
    {
        epoll_event events[maxEpollEvents];
        while (!m_stopping) {
            const int count = ::epoll_wait(m_epoll, events, maxEpollEvents, epollTimeoutMs);
            for (int i = 0; i < count; ++i) {
                inspect(events[i].data.fd);
            }
            closeExpired();
        }
    }

    void inspect(int fd)
    {
        char bytes[maxHeadBytes];
        const ssize_t count = ::recv(fd, bytes, sizeof bytes, MSG_PEEK | MSG_DONTWAIT);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (count <= 0) {
            unwatch(fd);
            ::close(fd);
            return;
        }
        const head_inspection inspection = inspectHead(std::string_view(bytes, static_cast<std::size_t>(count)));
        if (std::holds_alternative<head_incomplete>(inspection)) {
            const std::lock_guard lock(m_mutex);
            auto &watched = m_watched[fd];
            watched.since = watched.hasBytes ? watched.since : std::chrono::steady_clock::now();
            watched.hasBytes = true;
            return;
        }
        unwatch(fd);
        if (const auto *refused = std::get_if<head_refused>(&inspection)) {
            countMalformed();
            answerAndClose(fd, refused->status, "not run", refused->reason);
            return;
        }
        submit(fd);
    }

    void countMalformed()
    {
        const std::lock_guard lock(m_mutex);
        ++m_counts.malformed;
    }

    void closeExpired()
    {
        const instant now = std::chrono::steady_clock::now();
        std::vector<std::pair<int, bool>> expired;
        {
            const std::lock_guard lock(m_mutex);
            for (const auto &[fd, watched] : m_watched) {
                const seconds limit(watched.hasBytes ? m_limits.headTimeoutSeconds : m_limits.idleTimeoutSeconds);
                if (now - watched.since > limit) {
                    expired.emplace_back(fd, watched.hasBytes);
                    m_counts.expired += watched.hasBytes ? 1 : 0;
                }
            }
        }
        for (const auto &[fd, hasBytes] : expired) {
            unwatch(fd);
            if (hasBytes) {
                // The idempotency key, if any, has not been read; an earlier copy of the request may have run.
                answerAndClose(fd, 408, "unknown", "the request head did not arrive in time");
            } else {
                ::close(fd);
            }
        }
    }

    void submit(int fd)
    {
        std::unique_lock lock(m_mutex);
        if (m_readyConnections.size() >= m_limits.queue) {
            ++m_counts.refused;
            lock.unlock();
            // The idempotency key has not been read, so it cannot be refused for good: a delayed copy of the request could still run.
            answerAndClose(fd, 503, "unknown", "too many requests at once; repeat with the same key");
            return;
        }
        m_readyConnections.push_back(fd);
        if (m_idleThreads < m_readyConnections.size() && m_threads < m_limits.threads) {
            ++m_threads;
            std::thread([this] { workLoop(); }).detach();
        }
        m_workAvailable.notify_one();
    }

    void workLoop()
    {
        std::unique_lock lock(m_mutex);
        while (true) {
            ++m_idleThreads;
            const bool wasWoken = m_workAvailable.wait_for(lock, seconds(m_limits.idleTimeoutSeconds),
                                                           [this] { return !m_readyConnections.empty() || m_stopping; });
            --m_idleThreads;
            if (m_readyConnections.empty() && (m_stopping || !wasWoken)) {
                break;
            }
            const int fd = m_readyConnections.front();
            m_readyConnections.pop_front();
            ++m_busyThreads;
            lock.unlock();
            serve(fd);
            lock.lock();
            --m_busyThreads;
            m_workFinished.notify_all();
        }
        --m_threads;
        m_workFinished.notify_all();
    }

    void serve(int fd)
    {
        const int yes = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        buffered_stream stream(fd, remoteHostOf(fd));
        if (!readHead(fd, stream)) {
            ::close(fd);
            return;
        }
        bool isClosed = false;
        bool isServed = true;
        do {
            isServed = process_request(stream, m_stopping, isClosed, [](httplib::Request &) {});
        } while (isServed && !isClosed && !stream.buffered().empty() && readHead(fd, stream));
        if (isServed && !isClosed && stream.buffered().empty() && !m_stopping) {
            watch(fd);
            return;
        }
        ::shutdown(fd, SHUT_RDWR);
        ::close(fd);
    }

    /// Moves a complete request head from the socket into the stream and adds "Content-Length: 0" where a body's length is
    /// missing.
    static bool readHead(int fd, buffered_stream &stream)
    {
        std::string head(stream.buffered());
        char bytes[maxHeadBytes];
        while (true) {
            const head_inspection inspection = inspectHead(head);
            if (const auto *complete = std::get_if<head_complete>(&inspection)) {
                if (complete->lacksLength) {
                    head.insert(head.find("\r\n") + 2, "Content-Length: 0\r\n");
                }
                stream = buffered_stream(fd, remoteHostOf(fd));
                stream.push(head);
                return true;
            }
            if (std::holds_alternative<head_refused>(inspection) || !waitUntilReadable(fd)) {
                return false;
            }
            const ssize_t count = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
            if (count <= 0) {
                return false;
            }
            head.append(bytes, static_cast<std::size_t>(count));
        }
    }

    void handleRequest(const httplib::Request &req, httplib::Response &res)
    {
        const http_answer answer = m_handle(readRequest(req));
        res.status = answer.status;
        for (const auto &[name, value] : answer.headers) {
            res.set_header(name, value);
        }
        res.set_content(answer.body, answer.contentType);
    }

    static void writeLibraryError(httplib::Response &res)
    {
        // Answers of the handler have a content type, also those without a body.
        if (!res.body.empty() || res.has_header("Content-Type")) {
            return;
        }
        // Every node refuses a body over the limit, so no copy has run; other errors may concern this copy only.
        const std::string outcome = res.status == 413 ? "not run" : "unknown";
        const std::string body = R"({"type":"about:blank","status":)" + std::to_string(res.status) + R"(,"outcome":")" + outcome
            + R"(","detail":"the request could not be read"})";
        res.set_content(body, "application/problem+json");
    }

    connection_limits m_limits;
    handler m_handle;
    int m_epoll;
    std::atomic<bool> m_stopping{false};
    std::thread m_accepting;
    std::thread m_polling;
    mutable std::mutex m_mutex;
    std::condition_variable m_workAvailable;
    std::condition_variable m_workFinished;
    std::unordered_map<int, watched_connection> m_watched;
    std::deque<int> m_readyConnections;
    std::size_t m_threads = 0;
    std::size_t m_idleThreads = 0;
    std::size_t m_busyThreads = 0;
    connection_counts m_counts;
};

connection_server::connection_server(connection_limits limits, handler handle)
    : m_implementation(std::make_unique<implementation>(limits, std::move(handle)))
{
}

connection_server::~connection_server() = default;

result<std::uint16_t> connection_server::start(const endpoint &address)
{
    return m_implementation->start(address);
}

void connection_server::stop()
{
    m_implementation->stopAndDrain();
}

connection_counts connection_server::counts() const
{
    return m_implementation->counts();
}

} // namespace flamingofield
