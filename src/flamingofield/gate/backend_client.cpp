#include "gate/backend_client.hpp"

#include "http/message.hpp"

#include <httplib.h>

#include <deque>
#include <mutex>
#include <unordered_map>

namespace flamingofield {

namespace {

constexpr milliseconds minimumTimeout{1};

struct pooled_connection
{
    std::unique_ptr<httplib::ClientImpl> client;
    instant lastUsed;
};

/// True if the connection can be reused: the socket has nothing to read, neither unexpected bytes nor an end of stream.
bool isOpenWithoutInput(const httplib::ClientImpl &client)
{
    char byte = 0;
    const ssize_t count = ::recv(client.socket(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool hasFraming(const httplib::Request &request, const httplib::Response &response)
{
    const bool hasNoBody = request.method == "HEAD" || response.status == 204 || response.status == 304;
    return hasNoBody || response.has_header("Content-Length") || response.has_header("Transfer-Encoding");
}

bool isTimeout(httplib::Error failure, instant deadline)
{
    const bool canBeTimeout = failure == httplib::Error::Read || failure == httplib::Error::Canceled;
    return canBeTimeout && std::chrono::steady_clock::now() + minimumTimeout >= deadline;
}

} // namespace

class backend_client::implementation
{
public:
    explicit implementation(backend_limits limits)
        : m_limits(limits)
    {
    }

    backend_result send(const endpoint &peer, const backend_request &request)
    {
        const instant now = std::chrono::steady_clock::now();
        if (now + minimumTimeout >= request.deadline) {
            return backend_not_sent{"the deadline had passed", true};
        }
        pooled_connection pooled = request.requiresNewConnection ? pooled_connection{} : takeIdle(peer, now);
        const bool isReused = pooled.client != nullptr;
        if (!isReused) {
            pooled.client = open(peer);
        }
        return exchange(peer, request, std::move(pooled), isReused);
    }

    void closeIdleConnections(const endpoint &peer)
    {
        const std::lock_guard lock(m_mutex);
        m_idle.erase(toString(peer));
    }

private:
    std::unique_ptr<httplib::ClientImpl> open(const endpoint &peer) const
    {
        auto client = std::make_unique<httplib::ClientImpl>(peer.host, peer.port);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_follow_location(false);
        client->set_url_encode(false);
        client->set_decompress(false);
        return client;
    }

    pooled_connection takeIdle(const endpoint &peer, instant now)
    {
        const std::lock_guard lock(m_mutex);
        auto &idle = m_idle[toString(peer)];
        while (!idle.empty()) {
            pooled_connection pooled = std::move(idle.back());
            idle.pop_back();
            if (now - pooled.lastUsed < m_limits.maxIdleTime && isOpenWithoutInput(*pooled.client)) {
                return pooled;
            }
        }
        return {};
    }

    void keepIdle(const endpoint &peer, pooled_connection pooled)
    {
        pooled.lastUsed = std::chrono::steady_clock::now();
        const std::lock_guard lock(m_mutex);
        auto &idle = m_idle[toString(peer)];
        if (idle.size() < m_limits.maxIdlePerPeer) {
            idle.push_back(std::move(pooled));
        }
    }

    static httplib::Request toLibraryRequest(const backend_request &request, std::size_t maxAnswerBytes)
    {
        httplib::Request translated;
        translated.method = request.method;
        translated.path = request.target;
        translated.body = request.body;
        for (const auto &[name, value] : request.headers) {
            translated.headers.emplace(name, value);
        }
        if (!request.contentType.empty()) {
            translated.set_header("Content-Type", request.contentType);
        }
        const instant deadline = request.deadline;
        translated.progress = [deadline, maxAnswerBytes](std::uint64_t current, std::uint64_t total) {
            return std::max(current, total) <= maxAnswerBytes && std::chrono::steady_clock::now() < deadline;
        };
        return translated;
    }

    backend_result exchange(const endpoint &peer, const backend_request &request, pooled_connection pooled, bool isReused)
    {
        const instant now = std::chrono::steady_clock::now();
        const duration timeout = std::max<duration>(request.deadline - now, minimumTimeout);
        const duration connectTimeout = std::min(timeout, m_limits.connectTimeout);
        pooled.client->set_connection_timeout(connectTimeout);
        pooled.client->set_read_timeout(timeout);
        pooled.client->set_write_timeout(timeout);
        httplib::Request translated = toLibraryRequest(request, m_limits.maxAnswerBytes);
        httplib::Response response;
        httplib::Error failure = httplib::Error::Success;
        const bool isSent = pooled.client->send(translated, response, failure);
        if (!isSent) {
            if (!isReused && (failure == httplib::Error::Connection || failure == httplib::Error::ConnectionTimeout)) {
                // The library reports a timeout and a refusal alike.
                const bool timedOut = std::chrono::steady_clock::now() - now + minimumTimeout >= connectTimeout;
                return backend_not_sent{"connect: " + httplib::to_string(failure), timedOut};
            }
            return backend_outcome_unknown{httplib::to_string(failure), isTimeout(failure, request.deadline), isReused};
        }
        if (!isValidStatus(response.status)) {
            return backend_outcome_unknown{"the answer has the invalid status " + std::to_string(response.status), false, isReused};
        }
        if (!hasFraming(translated, response)) {
            return backend_outcome_unknown{"the answer declares no length, so a cut could not be told", false, isReused};
        }
        backend_answer answer;
        answer.status = response.status;
        answer.contentType = response.get_header_value("Content-Type");
        answer.body = std::move(response.body);
        answer.headers.insert(response.headers.begin(), response.headers.end());
        answer.wasConnectionReused = isReused;
        const bool canReuse = !request.requiresNewConnection && pooled.client->is_socket_open() != 0 && isOpenWithoutInput(*pooled.client);
        if (canReuse) {
            keepIdle(peer, std::move(pooled));
        }
        return answer;
    }

    backend_limits m_limits;
    std::mutex m_mutex;
    std::unordered_map<std::string, std::deque<pooled_connection>> m_idle;
};

backend_client::backend_client(backend_limits limits)
    : m_implementation(std::make_unique<implementation>(limits))
{
}

backend_client::~backend_client() = default;

backend_result backend_client::send(const endpoint &peer, const backend_request &request)
{
    return m_implementation->send(peer, request);
}

void backend_client::closeIdleConnections(const endpoint &peer)
{
    m_implementation->closeIdleConnections(peer);
}

} // namespace flamingofield
