#pragma once

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/time.hpp"
#include "http/memory_budget.hpp"
#include "http/message.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace flamingofield {

/// Limits of one client connection.
struct client_connection_limits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 8U << 20U;
    milliseconds headerTimeout{3000}; ///< For the head, from its first byte.
    milliseconds bodyTimeout{15000}; ///< For the body, after the head.
    milliseconds idleTimeout{15000}; ///< Between requests, from the time when the client last took bytes of an answer.
    milliseconds closeTimeout{6000}; ///< For the client to take the next bytes of an answer, or to close a connection that ends.
};

/// Bounds of all connections of a listener.
struct listener_bounds
{
    std::shared_ptr<memory_budget> memory; ///< Bounds what is held for clients; null for no bound.
    /// At this number, the connection that has been idle or has sent an incomplete request for the longest time is closed for a new one.
    std::size_t maxConnections = std::numeric_limits<std::size_t>::max();
    /// Called for each request or connection that is refused by a bound. The reason is one of a few literals.
    std::function<void(std::string_view reason)> onRefusal;
};

/// A request that waits for its answer. The listener holds it until it is answered or the client disconnects.
class pending_request
{
public:
    virtual ~pending_request() = default;

    /// Sends the answer; later calls have no effect.
    virtual void answer(const http_answer_message &answer) = 0;

    /// Sets a handler that is called once if the client disconnects before its answer.
    virtual void onClientDisconnect(std::function<void()> handler) = 0;

    virtual const http_request_message &request() const = 0;
};

class client_session;

/// Accepts connections and passes each complete request to a handler. Up to 16 requests of one connection are with the handler at a time,
/// which may answer them in any order; the client receives the answers in the order of its requests. Runs on the event loop.
class listener
{
public:
    using handler = std::function<void(const std::shared_ptr<pending_request> &)>;
    using limits_source = std::function<client_connection_limits()>;

    listener(boost::asio::io_context &loop, limits_source limits, handler onRequest);
    ~listener();
    listener(const listener &) = delete;
    listener &operator=(const listener &) = delete;

    /// Sets the bounds; to be called before start().
    void setBounds(listener_bounds bounds);

    /// Binds and listens.
    /// @return an error of step "listen" if the address is invalid or in use
    result<void> start(const endpoint &address);

    /// From now on, each connection is closed after the answers to the requests that it has passed on, or else after its next answer.
    void beginDraining();

    /// Accepts no more connections and ends those without a request. Connections and requests that have already arrived are served. A
    /// connection that ends is closed once its client has closed it: the reset that answers a client's next request would discard what it
    /// has not read yet.
    void stopAccepting();

    /// Enforces the timeouts of all connections; to be called several times a second.
    void tick(instant now);

    /// Number of requests without an answer, and of answers that are not written or, if they are the last ones on their connection, whose
    /// client has not closed it. After stopAccepting(), these are the last ones on each connection without a request.
    std::size_t unfinished() const;
    std::size_t connections() const;

private:
    friend class client_session;
    struct shared_state;

    void accept();
    static void startSession(const std::shared_ptr<shared_state> &state, boost::asio::ip::tcp::socket socket);

    std::shared_ptr<shared_state> m_state;
};

} // namespace flamingofield
