#pragma once

#include "core/error.hpp"
#include "http/connection_pool.hpp"
#include "http/memory_budget.hpp"
#include "http/message.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace flamingofield {

/// What is known about a request after its exchange.
enum class exchange_outcome {
    notSent, ///< No byte of it was sent.
    mayHaveRun, ///< Bytes were sent, but no complete answer was received.
    answered, ///< A complete answer was received.
};

/// Result of an exchange.
struct exchange_result
{
    exchange_outcome outcome = exchange_outcome::notSent;
    http_answer_message answer; ///< If answered.
    error failure; ///< Otherwise.
    bool wasConnectionReused = false; ///< The connection had served an earlier request.
    duration idleTime{}; ///< How long a reused connection had been idle.
    std::optional<duration> connectTime; ///< Time that a new connection took, about one round trip; empty if none was made.
    bool wasCancelled = false; ///< Ended by cancel().
    bool hasConnectTimedOut = false; ///< No connection was made within the timeout; it was not refused.
    bool wasClosedByPeer = false; ///< The peer closed or reset the connection before its answer was complete.
    bool wasMemoryRefused = false; ///< The answer did not fit into the memory budget, which is no fault of the peer.
};

/// Options of an exchange.
struct exchange_options
{
    std::string poolKey; ///< Identifies the process behind the address.
    milliseconds connectTimeout{400};
    milliseconds unacknowledgedTimeout{1500}; ///< The kernel ends the connection when sent bytes stay unacknowledged for this long.
    duration maxIdleTime{}; ///< Connections that have been idle for this long are not reused; zero always opens a new one.
    /// Header field with the request's id, which the peer repeats in its answer. If set, answers with another id are skipped, on a reused
    /// connection also those without one, a connection whose answer has none is not reused, and no request is sent on a connection that
    /// has carried its id.
    std::string requestIdField;
    std::size_t maxAnswerBytes = 16U << 20U;
    std::size_t maxFieldBytes = 64U << 10U; ///< Of the name and value of a field; a head has 64 KiB at most.
    std::shared_ptr<memory_budget> memory; ///< Bounds the memory of answers, together with other holders; null for no bound.
};

/// Sends one request on one connection and receives its answer. Runs on the event loop.
///
/// Only connecting has a timeout; limit the whole exchange with cancel() or runWithTimeout().
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    using handler = std::function<void(exchange_result)>;

    exchange(boost::asio::io_context &loop, connection_pool &pool, endpoint peer, exchange_options options);
    ~exchange();
    exchange(const exchange &) = delete;
    exchange &operator=(const exchange &) = delete;

    /// Sends the request; the handler is called once, never from within this call.
    void start(const http_request_message &request, handler onEnd);

    /// Closes the connection and calls the handler; no effect after the exchange has ended.
    void cancel();

private:
    struct state;

    void connect();
    void send();
    void receive();
    void receiveSome();
    /// Takes the head of the answer from the parser.
    void takeHead();
    /// Length that the head declares for the body, zero if there is none.
    std::uint64_t declaredBodyBytes() const;
    /// True if an answer that ends with its connection was ended by an error of the connection, which the write of the request took.
    bool isEndedByBrokenConnection() const;
    /// Reserves memory for what has been received.
    /// @return false if the bound is reached
    bool reserveMemory();
    void handleAnswer();
    /// True if the answer belongs, or may belong, to an earlier request on the connection.
    bool isAnswerToOtherRequest() const;
    /// @param result has what is to be reported besides the failure
    void fail(std::string_view step, const std::string &reason, exchange_result result = {});
    void end(exchange_result result);

    std::unique_ptr<state> m_state;
};

/// Runs one exchange and cancels it at a deadline.
/// @param onEnd receives the result
void runUntil(boost::asio::io_context &loop, connection_pool &pool, const endpoint &peer, const exchange_options &options,
              const http_request_message &request, instant deadline, exchange::handler onEnd);

/// Runs one exchange and cancels it after a timeout.
/// @param onEnd receives the answer, or an error with the step that failed
void runWithTimeout(boost::asio::io_context &loop, connection_pool &pool, const endpoint &peer, const exchange_options &options,
                    const http_request_message &request, milliseconds timeout, std::function<void(result<http_answer_message>)> onEnd);

} // namespace flamingofield
