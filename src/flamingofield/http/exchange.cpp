#include "http/exchange.hpp"

#include "core/hash.hpp"
#include "http/internal/answer_parser.hpp"
#include "http/internal/chunk_extensions.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace flamingofield {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Time for which an idle connection may be reused if the peer sends no Keep-Alive timeout.
constexpr milliseconds defaultKeepAlive{4000};
/// Share of the peer's Keep-Alive timeout during which a connection is reused; the rest allows for transit time and slow clocks.
constexpr double keepAliveUsableShare = 0.6;
/// Interim answers and answers to other requests that are skipped before the exchange fails.
constexpr int maxSkippedAnswers = 3;
constexpr std::size_t maxHeadBytes = 64U << 10U;
/// Bytes that are received but not parsed yet. The parser takes a head, a chunk header and a trailer only as a whole, so this bounds each
/// of them. Beast's read operations return only when the parser has taken something, so no check between two of them would.
constexpr std::size_t maxUnparsedBytes = maxHeadBytes;

duration keepAliveOf(std::string_view value)
{
    const auto found = value.find("timeout=");
    if (found == std::string_view::npos) {
        return defaultKeepAlive;
    }
    const std::string_view digits = value.substr(found + 8);
    int stated = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), stated);
    return milliseconds(static_cast<std::int64_t>(1000.0 * stated * keepAliveUsableShare));
}

} // namespace

struct exchange::state
{
    state(asio::io_context &context, connection_pool &idle, endpoint to, exchange_options how)
        : loop(context)
        , pool(idle)
        , peer(std::move(to))
        , options(std::move(how))
        , connection(context)
        , connectTimer(context)
        , buffer(maxUnparsedBytes)
    {
    }

    asio::io_context &loop;
    connection_pool &pool;
    endpoint peer;
    exchange_options options;
    peer_connection connection;
    asio::steady_timer connectTimer;
    boost::beast::flat_buffer buffer;
    std::optional<answer_parser> parser;
    http_answer_message answer; ///< Its head, once that is complete.
    bool hasHead = false; ///< The head is complete.
    bool isKeepAlive = false; ///< According to the head.
    std::string head;
    http_body body; ///< Shared with the request and its other attempts.
    std::string requestId;
    handler onEnd;
    bool isHeadRequest = false;
    std::optional<duration> idleTime; ///< Set if the connection is reused.
    instant connectStartedAt{};
    std::optional<duration> connectTime;
    bool hasStartedSending = false; ///< Bytes may have been sent.
    bool isWritten = false; ///< All bytes have been written to the socket.
    error_code writeFailure; ///< Set if the request could not be written completely.
    bool hasEnded = false;
    int skippedAnswers = 0;
    std::shared_ptr<memory_reservation> reservation; ///< For the answer.
};

exchange::exchange(asio::io_context &loop, connection_pool &pool, endpoint peer, exchange_options options)
    : m_state(std::make_unique<state>(loop, pool, std::move(peer), std::move(options)))
{
}

exchange::~exchange() = default;

void exchange::start(const http_request_message &request, handler onEnd)
{
    state &s = *m_state;
    s.head = serializeHead(request);
    s.body = request.body;
    s.isHeadRequest = request.method == "HEAD";
    s.onEnd = std::move(onEnd);
    if (!s.options.requestIdField.empty()) {
        s.requestId = request.fields.value(s.options.requestIdField);
    }
    const auto requestHash = s.requestId.empty() ? std::nullopt : std::optional<std::uint64_t>(hashOf(s.requestId));
    s.idleTime = s.pool.take(s.options.poolKey, s.options.maxIdleTime, requestHash, std::chrono::steady_clock::now(), s.connection);
    if (requestHash) {
        s.connection.sentRequests.push_back(*requestHash);
    }
    if (s.idleTime) {
        asio::post(s.loop, [self = shared_from_this()] { self->send(); });
    } else {
        connect();
    }
}

void exchange::connect()
{
    state &s = *m_state;
    error_code failure;
    const auto address = asio::ip::make_address_v4(s.peer.host, failure);
    if (!failure) {
        s.connection.socket.open(asio::ip::tcp::v4(), failure);
    }
    if (failure) {
        asio::post(s.loop, [self = shared_from_this(), failure] { self->fail("open connection", failure.message()); });
        return;
    }
    setSocketOptions(s.connection.socket, s.options.unacknowledgedTimeout);
    s.connectStartedAt = std::chrono::steady_clock::now();
    s.connectTimer.expires_after(s.options.connectTimeout);
    s.connectTimer.async_wait([self = shared_from_this()](error_code aborted) {
        if (!aborted) {
            exchange_result late;
            late.hasConnectTimedOut = true;
            self->fail("connect", "no connection within " + std::to_string(self->m_state->options.connectTimeout.count()) + " ms",
                       std::move(late));
        }
    });
    s.connection.socket.async_connect({address, s.peer.port}, [self = shared_from_this()](error_code refused) {
        self->m_state->connectTimer.cancel();
        if (refused) {
            self->fail("connect", refused.message());
        } else {
            self->m_state->connectTime = std::chrono::steady_clock::now() - self->m_state->connectStartedAt;
            self->send();
        }
    });
}

void exchange::send()
{
    state &s = *m_state;
    if (s.hasEnded) {
        return;
    }
    s.hasStartedSending = true;
    // Receives while sending, as a peer may refuse a long body before it has read all of it.
    receive();
    const std::array<asio::const_buffer, 2> parts{asio::buffer(s.head), asio::buffer(s.body.text())};
    asio::async_write(s.connection.socket, parts, [self = shared_from_this()](error_code failure, std::size_t written) {
        state &mine = *self->m_state;
        mine.isWritten = !failure;
        mine.writeFailure = failure;
        if (failure && !mine.hasEnded && written == 0) {
            mine.hasStartedSending = false;
            self->fail("send", failure.message());
        }
        // After a partial write, receive() ends the exchange.
    });
}

void exchange::receive()
{
    state &s = *m_state;
    s.parser.emplace(s.options.maxFieldBytes);
    s.answer = {};
    s.hasHead = false;
    s.parser->get().body().maxBytes = s.options.maxAnswerBytes;
    s.parser->body_limit(s.options.maxAnswerBytes);
    s.parser->header_limit(maxHeadBytes);
    s.parser->skip(s.isHeadRequest);
    refuseControlCharactersInExtensions(*s.parser);
    // Stops after the head, whose declared length is checked before any byte of the body is received.
    s.parser->eager(false);
    receiveSome();
}

void exchange::receiveSome()
{
    state &s = *m_state;
    http::async_read_some(s.connection.socket, s.buffer, *s.parser, [self = shared_from_this()](error_code failure, std::size_t) {
        state &mine = *self->m_state;
        if (mine.hasEnded) {
            return;
        }
        if (!mine.hasHead && mine.parser->is_header_done()) {
            self->takeHead();
        }
        if (failure == http::error::buffer_overflow) {
            self->fail("receive answer",
                       "a head, chunk header or trailer of the answer is longer than " + std::to_string(maxUnparsedBytes) + " bytes");
        } else if (failure) {
            const bool isClosedByPeer = failure == asio::error::connection_reset || failure == http::error::end_of_stream
                || failure == http::error::partial_message;
            exchange_result broken;
            broken.wasClosedByPeer = isClosedByPeer;
            const std::string &violation = mine.parser->violation();
            self->fail("receive answer", violation.empty() ? "expected a complete answer, got: " + failure.message() : violation,
                       std::move(broken));
        } else if (hasUnknownCoding(mine.answer.fields)) {
            self->fail("receive answer", "the answer is in a transfer coding other than chunked, which was not requested");
        } else if (self->declaredBodyBytes() > mine.options.maxAnswerBytes) {
            self->fail("receive answer", "the answer declares a length above " + std::to_string(mine.options.maxAnswerBytes) + " bytes");
        } else if (!self->reserveMemory()) {
            exchange_result refused;
            refused.wasMemoryRefused = true;
            self->fail("receive answer", "the answer does not fit into the memory budget", std::move(refused));
        } else if (mine.parser->is_done() && self->isEndedByBrokenConnection()) {
            exchange_result broken;
            broken.wasClosedByPeer = mine.writeFailure == asio::error::connection_reset;
            self->fail("receive answer", "expected the end of the answer, got: " + mine.writeFailure.message(), std::move(broken));
        } else if (mine.parser->is_done()) {
            self->handleAnswer();
        } else {
            mine.parser->eager(mine.parser->is_header_done());
            self->receiveSome();
        }
    });
}

void exchange::takeHead()
{
    state &s = *m_state;
    auto &parsed = s.parser->get();
    s.hasHead = true;
    s.isKeepAlive = parsed.keep_alive();
    s.answer.status = static_cast<int>(parsed.result_int());
    s.answer.reason = std::string(parsed.reason());
    s.answer.fields = takeFields(parsed);
}

std::uint64_t exchange::declaredBodyBytes() const
{
    const state &s = *m_state;
    return s.parser->is_header_done() && !s.isHeadRequest ? s.parser->content_length().value_or(0) : 0;
}

bool exchange::isEndedByBrokenConnection() const
{
    // The kernel reports the error of a connection once, and the event loop performs a pending write before a pending read. If the write
    // takes the error, the read sees the end of the stream. EPIPE is the error of a reset that came after the peer had ended its stream.
    const state &s = *m_state;
    return s.parser->need_eof() && s.writeFailure && s.writeFailure != asio::error::broken_pipe;
}

bool exchange::reserveMemory()
{
    state &s = *m_state;
    const instant now = std::chrono::steady_clock::now();
    if (s.reservation == nullptr) {
        s.reservation = std::make_shared<memory_reservation>(s.options.memory, memory_kind::answer, now);
    }
    const std::size_t received = std::max<std::size_t>(declaredBodyBytes(), s.parser->get().body().memory()) + s.buffer.size();
    return s.reservation->growTo(received, now);
}

bool exchange::isAnswerToOtherRequest() const
{
    const state &s = *m_state;
    if (s.requestId.empty()) {
        return false;
    }
    if (!s.answer.fields.has(s.options.requestIdField)) {
        // On a new connection, no other request can have been answered.
        return s.idleTime.has_value();
    }
    return s.answer.fields.value(s.options.requestIdField) != s.requestId;
}

void exchange::handleAnswer()
{
    state &s = *m_state;
    const bool isInterim = s.answer.status < 200;
    if (isInterim || isAnswerToOtherRequest()) {
        if (s.parser->need_eof()) {
            // A read after the end of the stream need not complete.
            exchange_result closed;
            closed.wasClosedByPeer = true;
            fail("receive answer", "expected the answer to the request, got the end of the stream behind that to another one",
                 std::move(closed));
        } else if (++s.skippedAnswers > maxSkippedAnswers) {
            fail("receive answer", "expected the answer to the request, got " + std::to_string(s.skippedAnswers) + " others");
        } else {
            receive();
        }
        return;
    }
    exchange_result result;
    result.outcome = exchange_outcome::answered;
    result.answer = std::move(s.answer);
    auto message = s.parser->release();
    body_buffer &body = message.body();
    if (s.reservation != nullptr) {
        s.reservation->shrinkTo(body.memory());
    }
    result.answer.body = http_body(std::move(body.text), std::move(s.reservation));
    const bool namesRequest = s.requestId.empty() || result.answer.fields.has(s.options.requestIdField);
    const bool isReusable = s.isKeepAlive && s.isWritten && s.buffer.size() == 0 && s.skippedAnswers == 0 && namesRequest;
    if (isReusable) {
        const duration keepAliveTime = keepAliveOf(result.answer.fields.value("Keep-Alive"));
        if (keepAliveTime > duration::zero()) {
            s.pool.put(s.options.poolKey, std::move(s.connection), keepAliveTime, std::chrono::steady_clock::now());
        }
    }
    end(std::move(result));
}

void exchange::fail(std::string_view step, const std::string &reason, exchange_result result)
{
    state &s = *m_state;
    if (s.hasEnded) {
        return;
    }
    result.outcome = s.hasStartedSending ? exchange_outcome::mayHaveRun : exchange_outcome::notSent;
    result.failure = {std::string(step), toString(s.peer), reason};
    // When one connection to a peer fails, the idle ones have usually failed, too.
    s.pool.closeAll(s.options.poolKey);
    end(std::move(result));
}

void exchange::cancel()
{
    state &s = *m_state;
    if (s.hasEnded) {
        return;
    }
    exchange_result result;
    result.outcome = s.hasStartedSending ? exchange_outcome::mayHaveRun : exchange_outcome::notSent;
    result.failure = {"exchange", toString(s.peer), "cancelled before its end"};
    result.wasCancelled = true;
    end(std::move(result));
}

void exchange::end(exchange_result result)
{
    state &s = *m_state;
    s.hasEnded = true;
    s.reservation.reset();
    result.wasConnectionReused = s.idleTime.has_value();
    result.idleTime = s.idleTime.value_or(duration::zero());
    result.connectTime = s.connectTime;
    s.connectTimer.cancel();
    error_code ignored; // The socket is discarded in any case.
    s.connection.socket.close(ignored);
    asio::post(s.loop, [onEnd = std::move(s.onEnd), ended = std::move(result)]() mutable { onEnd(std::move(ended)); });
}

void runUntil(asio::io_context &loop, connection_pool &pool, const endpoint &peer, const exchange_options &options,
              const http_request_message &request, instant deadline, exchange::handler onEnd)
{
    auto timer = std::make_shared<asio::steady_timer>(loop, deadline);
    auto run = std::make_shared<exchange>(loop, pool, peer, options);
    run->start(request, [timer, onEnd = std::move(onEnd)](exchange_result result) {
        timer->cancel();
        onEnd(std::move(result));
    });
    timer->async_wait([run, timer](error_code aborted) {
        if (!aborted) {
            run->cancel();
        }
    });
}

void runWithTimeout(asio::io_context &loop, connection_pool &pool, const endpoint &peer, const exchange_options &options,
                    const http_request_message &request, milliseconds timeout, std::function<void(result<http_answer_message>)> onEnd)
{
    runUntil(loop, pool, peer, options, request, std::chrono::steady_clock::now() + timeout,
             [onEnd = std::move(onEnd), timeout](exchange_result end) {
                 if (end.outcome == exchange_outcome::answered) {
                     onEnd(std::move(end.answer));
                 } else if (end.wasCancelled) {
                     onEnd(error{end.failure.step, end.failure.peer, "no answer within " + std::to_string(timeout.count()) + " ms"});
                 } else {
                     onEnd(std::move(end.failure));
                 }
             });
}

} // namespace flamingofield
