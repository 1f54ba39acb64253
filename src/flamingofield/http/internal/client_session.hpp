#pragma once

#include "http/connection_pool.hpp"
#include "http/internal/request_reader.hpp"
#include "http/listener.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <unordered_set>
#include <utility>
#include <vector>

namespace flamingofield {

/// State that a listener shares with its connections.
struct listener::shared_state
{
    shared_state(boost::asio::io_context &context, limits_source source, handler onNew)
        : loop(context)
        , acceptor(context)
        , acceptTimer(context)
        , limits(std::move(source))
        , onRequest(std::move(onNew))
    {
    }

    boost::asio::io_context &loop;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer acceptTimer;
    limits_source limits;
    handler onRequest;
    listener_bounds bounds;
    std::unordered_set<std::shared_ptr<client_session>> sessions;
    /// Connections that may be closed for new ones, with the start of their idle time or incomplete request; the earliest is last.
    std::vector<std::pair<instant, std::weak_ptr<client_session>>> closableSessions;
    std::size_t connectionsClosedAtLimit = 0; ///< Since the last log line.
    instant limitLoggedAt{};
    bool isDraining = false;
    bool isStopped = false;

    /// Counts a refusal by its reason.
    void countRefusal(std::string_view reason) const
    {
        if (bounds.onRefusal) {
            bounds.onRefusal(reason);
        }
    }

    /// Closes the connection that has been idle or has sent an incomplete request for the longest time.
    /// @return false if all connections have requests that wait for their answers
    bool closeOldest();
};

/// One client connection. Its requests are passed to the handler as they arrive and answered in their order.
class client_session : public std::enable_shared_from_this<client_session>
{
public:
    /// Number of requests without a written answer at which the connection is not read further.
    static constexpr std::size_t maxPendingRequests = 16;

    client_session(std::shared_ptr<listener::shared_state> owner, tcp_socket socket);

    void start();

    /// Ends the connection if it has no request, not even one that has arrived but has not been read.
    void closeIfIdle();

    /// Number of complete requests whose answers are not written; 1 if all are written but the client has not closed a connection that
    /// ends with the last one, or that the listener is about to end.
    std::size_t unfinished() const;

    void tick(instant now);

    /// Start of the idle time or of the incomplete request, or when the client of a connection that ends last took bytes. Nothing if a
    /// request waits for its answer, or if the client's next request has arrived unread.
    std::optional<instant> closableSince();

    /// Closes the connection and reports the disconnect to each request that waits for its answer.
    void close();

    /// Closes the connection and reports nothing.
    void abandon();

private:
    class queued_request;
    enum class phase { open, lingering, closed };
    enum class output { none, interim, answer };

    /// Starts a read if none is pending and the connection is to be read; it also detects a disconnect of the client.
    void startRead();

    bool mayRead() const;

    void handleRead(boost::system::error_code failure, std::size_t count);

    void handleReadFailure(boost::system::error_code failure, bool wasCancelled);

    /// Passes on the complete requests among the bytes that were read and starts the next read.
    void readRequests();

    void passOn(received_request received);

    /// Answers the request that is being read with an error after all earlier answers, logs it and ends reading.
    void refuse(const request_refusal &refusal);

    /// Refuses the request that is being read, because its memory is needed for others.
    void evict();

    /// No further request is passed on; the answer to the last one closes the connection.
    void endReading();

    /// Ends reading if the listener is draining and a waiting request can carry the last answer.
    void endReadingIfDraining();

    void handleAnswer(queued_request &request, const http_answer_message &answer);

    /// Writes the answer or interim answer that is due, if it is ready.
    void writeNext();

    void write(const http_answer_message &answer);

    /// Sends m_output and m_outputBody.
    void startWrite(output kind);

    void handleWritten(boost::system::error_code failure);

    /// Shuts down the sending side and discards input until the client closes the connection: closing earlier would answer its bytes with
    /// a reset, which can discard answers before the client reads them. The wait is bounded by closeTimeout.
    void startLingering();

    /// Ends a connection without a request, at once if its client has had the time to read all answers.
    void endIdle();

    /// Postpones the timeouts of a client that has taken bytes of its answers.
    void noteProgress(instant now);

    /// True if no byte of a request has been read whose answer is not written.
    bool isIdle() const;

    std::shared_ptr<listener::shared_state> m_owner;
    tcp_socket m_socket;
    request_reader m_reader;
    std::vector<std::shared_ptr<queued_request>> m_requests; ///< In their order; the answer to the first is due or being written.
    std::string m_output;
    http_body m_outputBody; ///< Follows m_output.
    phase m_phase = phase::open;
    output m_writing = output::none;
    instant m_activeAt{}; ///< Start of the connection or of the latest write, or when the client was last seen to have taken bytes.
    std::size_t m_discardedBytes = 0;
    std::size_t m_untakenBytes = 0; ///< Written bytes that the client had not taken when last asked.
    bool m_isReading = false;
    bool m_hasAnswered = false;
    bool m_closesIfIdle = false; ///< The current read was cancelled to close the connection.
    bool m_isReadingEnded = false;
    bool m_closesAfterWrite = false;
};

} // namespace flamingofield
