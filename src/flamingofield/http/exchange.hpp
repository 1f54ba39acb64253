#pragma once

#include "core/error.hpp"
#include "http/connection_pool.hpp"
#include "http/message.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace flamingofield {

/// What is certain about a request after its exchange.
enum class exchange_verdict {
    notSent, ///< No byte reached the peer.
    mayHaveRun, ///< Bytes were sent and no whole answer came.
    answered, ///< A whole answer came.
};

/// End of an exchange.
struct exchange_result
{
    exchange_verdict verdict = exchange_verdict::notSent;
    http_exchange_answer answer; ///< If answered.
    error problem; ///< Otherwise, with the step and the peer.
    bool wasReused = false; ///< The connection had served an earlier request.
    duration idleFor{}; ///< How long a reused connection had been idle.
    bool wasCancelled = false; ///< The caller broke it off.
    bool wasClosedByPeer = false; ///< After the request was sent, the peer ended the connection without a whole answer.
};

/// How an exchange is run.
struct exchange_options
{
    std::string poolKey; ///< Names the process behind the address.
    milliseconds connectTimeout{400};
    milliseconds unacknowledged{1500}; ///< The connection is given up when sent bytes stay unacknowledged for this long.
    duration longestIdle{}; ///< Connections idle for longer are not reused; zero always opens a new one.
    std::string idField; ///< If set, answers must carry this field with the request's value; others are skipped.
    std::size_t mostAnswerBytes = 16U << 20U;
};

/// One request on one connection. Runs on the event loop; every operation ends by itself or by cancel().
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    using handler = std::function<void(exchange_result)>;

    exchange(boost::asio::io_context &loop, connection_pool &pool, endpoint peer, exchange_options options);
    ~exchange();
    exchange(const exchange &) = delete;
    exchange &operator=(const exchange &) = delete;

    /// Sends the request; the handler is called once, never from within this call.
    void start(const http_exchange_request &request, handler onEnd);

    /// Breaks the exchange off: the connection is closed and the handler is called with what is certain.
    void cancel();

private:
    struct state;

    void connect();
    void send();
    void receive();
    void received();
    bool isStrayAnswer() const;
    void fail(std::string_view step, const std::string &reason, bool isPeersEnd = false);
    void end(exchange_result result);

    std::unique_ptr<state> m_state;
};

/// Runs one exchange that must end within a time.
/// @param onEnd gets the answer, or an error with the step at which the exchange failed
void runWithTimeout(boost::asio::io_context &loop, connection_pool &pool, const endpoint &peer, const exchange_options &options,
                    const http_exchange_request &request, milliseconds timeout, std::function<void(result<http_exchange_answer>)> onEnd);

} // namespace flamingofield
