#include "gate/backend_client.hpp"

#include "http/exchange.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

namespace flamingofield {

namespace asio = boost::asio;

namespace {

constexpr milliseconds minimumTimeout{1};

/// Owns the socket of an idle connection, which belongs to no event loop.
class idle_socket
{
public:
    explicit idle_socket(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    idle_socket(idle_socket &&other) noexcept
        : m_descriptor(other.release())
    {
    }
    idle_socket &operator=(idle_socket &&other) noexcept
    {
        std::swap(m_descriptor, other.m_descriptor);
        return *this;
    }
    idle_socket(const idle_socket &) = delete;
    idle_socket &operator=(const idle_socket &) = delete;
    ~idle_socket()
    {
        if (m_descriptor >= 0) {
            ::close(m_descriptor);
        }
    }

    int release()
    {
        return std::exchange(m_descriptor, -1);
    }

    int get() const
    {
        return m_descriptor;
    }

private:
    int m_descriptor;
};

struct idle_connection
{
    idle_socket socket;
    instant lastUsed;
};

/// @return the loop, or an error, usually for want of file descriptors
result<std::unique_ptr<asio::io_context>> makeEventLoop(const endpoint &peer)
{
    try {
        auto loop = std::make_unique<asio::io_context>(1);
        const asio::steady_timer first(*loop); // Opens the descriptors of the loop.
        return loop;
    } catch (const boost::system::system_error &failure) {
        return error{"open event loop", toString(peer), std::string("expected an event loop, got: ") + failure.what()};
    }
}

/// True if the answer says where its body ends.
bool hasFraming(const http_request_message &request, const http_answer_message &answer)
{
    const bool hasNoBody = request.method == "HEAD" || answer.status == 204 || answer.status == 304;
    return hasNoBody || answer.fields.has("Content-Length") || answer.fields.has("Transfer-Encoding");
}

http_request_message toMessage(const endpoint &peer, const backend_request &request)
{
    http_request_message message;
    message.method = request.method;
    message.target = request.target;
    message.fields.add("Host", toString(peer));
    for (const auto &[name, value] : request.headers) {
        message.fields.add(name, value);
    }
    if (!request.contentType.empty()) {
        message.fields.set("Content-Type", request.contentType);
    }
    message.body = request.body;
    return message;
}

backend_answer toAnswer(const http_answer_message &message)
{
    backend_answer answer;
    answer.status = message.status;
    answer.contentType = std::string(message.fields.value("Content-Type"));
    answer.body = message.body.text();
    answer.headers.insert(message.fields.all().begin(), message.fields.all().end());
    return answer;
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
        const http_request_message message = toMessage(peer, request);
        exchange_result ended = run(peer, message, request.deadline, request.requiresNewConnection ? std::nullopt : takeIdle(peer, now));
        if (ended.wasConnectionReused && ended.outcome == exchange_outcome::notSent && !ended.wasCancelled) {
            // The peer had closed the idle connection.
            ended = run(peer, message, request.deadline, std::nullopt);
        }
        const bool isReused = ended.wasConnectionReused;
        if (ended.outcome == exchange_outcome::notSent) {
            return backend_not_sent{ended.failure.step + ": " + ended.failure.reason, ended.wasCancelled || ended.hasConnectTimedOut};
        }
        if (ended.outcome == exchange_outcome::mayHaveRun) {
            return backend_outcome_unknown{ended.failure.reason, ended.wasCancelled, isReused};
        }
        if (!hasFraming(message, ended.answer)) {
            return backend_outcome_unknown{"the answer declares no length, so a cut could not be told", false, isReused};
        }
        backend_answer answer = toAnswer(ended.answer);
        answer.wasConnectionReused = isReused;
        return answer;
    }

    void closeIdleConnections(const endpoint &peer)
    {
        const std::lock_guard lock(m_mutex);
        m_idle.erase(toString(peer));
    }

private:
    /// Runs one exchange on an event loop of its own and keeps its connection if it can be reused.
    exchange_result run(const endpoint &peer, const http_request_message &message, instant deadline, std::optional<idle_socket> idle)
    {
        const instant now = std::chrono::steady_clock::now();
        const auto ownLoop = makeEventLoop(peer);
        if (!ownLoop) {
            exchange_result ended;
            ended.failure = ownLoop.error();
            return ended;
        }
        asio::io_context &loop = *ownLoop.value();
        connection_pool connections;
        exchange_options options;
        options.poolKey = toString(peer);
        options.maxAnswerBytes = m_limits.maxAnswerBytes;
        options.maxFieldBytes = m_limits.maxFieldBytes;
        options.connectTimeout
            = std::chrono::duration_cast<milliseconds>(std::clamp<duration>(deadline - now, minimumTimeout, m_limits.connectTimeout));
        options.unacknowledgedTimeout = milliseconds(0); // The default of the system; the deadline limits the exchange.
        if (idle) {
            peer_connection connection(loop);
            boost::system::error_code failure; // The exchange then opens a new connection.
            connection.socket.assign(asio::ip::tcp::v4(), idle->release(), failure);
            connections.put(options.poolKey, std::move(connection), m_limits.maxIdleTime, now);
            options.maxIdleTime = m_limits.maxIdleTime;
        }
        std::optional<exchange_result> ended;
        runUntil(loop, connections, peer, options, message, deadline, [&ended](exchange_result result) { ended = std::move(result); });
        while (!ended) {
            loop.run_one();
        }
        peer_connection kept(loop);
        if (connections.take(options.poolKey, m_limits.maxIdleTime, std::nullopt, std::chrono::steady_clock::now(), kept)) {
            boost::system::error_code failure;
            keepIdle(peer, idle_socket(kept.socket.release(failure)));
        }
        return std::move(*ended);
    }

    std::optional<idle_socket> takeIdle(const endpoint &peer, instant now)
    {
        const std::lock_guard lock(m_mutex);
        auto &idle = m_idle[toString(peer)];
        while (!idle.empty()) {
            idle_connection connection = std::move(idle.back());
            idle.pop_back();
            if (now - connection.lastUsed < m_limits.maxIdleTime && !hasPendingInput(connection.socket.get())) {
                return std::move(connection.socket);
            }
        }
        return std::nullopt;
    }

    void keepIdle(const endpoint &peer, idle_socket socket)
    {
        const std::lock_guard lock(m_mutex);
        auto &idle = m_idle[toString(peer)];
        if (idle.size() < m_limits.maxIdlePerPeer) {
            idle.push_back({std::move(socket), std::chrono::steady_clock::now()});
        }
    }

    backend_limits m_limits;
    std::mutex m_mutex;
    std::unordered_map<std::string, std::deque<idle_connection>> m_idle;
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
