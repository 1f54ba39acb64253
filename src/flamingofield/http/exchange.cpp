#include "http/exchange.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace flamingofield {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Time for which a peer keeps an idle connection if it does not say so.
constexpr milliseconds defaultKeepAlive{4000};
/// Part of a stated keep-alive time after which a connection is no longer reused; covers the way and slow clocks.
constexpr double keepAliveShare = 0.6;
/// Stray answers skipped on one connection before it is given up.
constexpr int mostStrayAnswers = 3;
constexpr std::size_t headerLimit = 64U << 10U;

duration keepAliveOf(std::string_view value)
{
    const auto found = value.find("timeout=");
    if (found == std::string_view::npos) {
        return defaultKeepAlive;
    }
    const std::string_view digits = value.substr(found + 8);
    int stated = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), stated);
    return milliseconds(static_cast<int>(1000.0 * stated * keepAliveShare));
}

using response_parser = http::response_parser<http::string_body>;

} // namespace

struct exchange::state
{
    state(asio::io_context &context, connection_pool &idle, endpoint to, exchange_options how)
        : loop(context)
        , pool(idle)
        , peer(std::move(to))
        , options(std::move(how))
        , socket(context)
        , connectTimer(context)
    {
    }

    asio::io_context &loop;
    connection_pool &pool;
    endpoint peer;
    exchange_options options;
    tcp_socket socket;
    asio::steady_timer connectTimer;
    boost::beast::flat_buffer buffer;
    std::optional<response_parser> parser;
    std::string bytes;
    std::string requestId;
    handler onEnd;
    bool isHead = false;
    std::optional<duration> idleFor; ///< Set if the connection is reused.
    bool isSent = false; ///< A byte may have left.
    bool isWritten = false; ///< All bytes have left.
    bool hasEnded = false;
    int strayAnswers = 0;
};

exchange::exchange(asio::io_context &loop, connection_pool &pool, endpoint peer, exchange_options options)
    : m_state(std::make_unique<state>(loop, pool, std::move(peer), std::move(options)))
{
}

exchange::~exchange() = default;

void exchange::start(const http_exchange_request &request, handler onEnd)
{
    state &s = *m_state;
    s.bytes = serialize(request);
    s.isHead = request.method == "HEAD";
    s.onEnd = std::move(onEnd);
    if (!s.options.idField.empty()) {
        s.requestId = request.fields.value(s.options.idField);
    }
    s.idleFor = s.pool.take(s.options.poolKey, s.options.longestIdle, std::chrono::steady_clock::now(), s.socket);
    if (s.idleFor) {
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
        s.socket.open(asio::ip::tcp::v4(), failure);
    }
    if (failure) {
        asio::post(s.loop, [self = shared_from_this(), failure] { self->fail("open connection", failure.message()); });
        return;
    }
    setSocketOptions(s.socket, s.options.unacknowledged);
    s.connectTimer.expires_after(s.options.connectTimeout);
    s.connectTimer.async_wait([self = shared_from_this()](error_code aborted) {
        if (!aborted) {
            self->fail("connect", "no connection within " + std::to_string(self->m_state->options.connectTimeout.count()) + " ms");
        }
    });
    s.socket.async_connect({address, s.peer.port}, [self = shared_from_this()](error_code refused) {
        self->m_state->connectTimer.cancel();
        if (refused) {
            self->fail("connect", refused.message());
        } else {
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
    s.isSent = true;
    // The answer is awaited meanwhile: a peer may refuse a long body before it has read all of it.
    receive();
    asio::async_write(s.socket, asio::buffer(s.bytes), [self = shared_from_this()](error_code failure, std::size_t written) {
        state &mine = *self->m_state;
        mine.isWritten = !failure;
        if (failure && !mine.hasEnded && written == 0) {
            mine.isSent = false;
            self->fail("send", failure.message());
        }
        // After a partial write the answer, or its absence, decides.
    });
}

void exchange::receive()
{
    state &s = *m_state;
    s.parser.emplace();
    s.parser->body_limit(s.options.mostAnswerBytes);
    s.parser->header_limit(headerLimit);
    s.parser->skip(s.isHead);
    http::async_read(s.socket, s.buffer, *s.parser, [self = shared_from_this()](error_code failure, std::size_t) {
        if (self->m_state->hasEnded) {
            return;
        }
        if (failure) {
            const bool isPeersEnd = failure == asio::error::connection_reset || failure == http::error::end_of_stream
                || failure == http::error::partial_message;
            self->fail("receive answer", failure.message(), isPeersEnd);
        } else {
            self->received();
        }
    });
}

bool exchange::isStrayAnswer() const
{
    const state &s = *m_state;
    if (s.requestId.empty()) {
        return false;
    }
    const auto &fields = s.parser->get();
    const auto found = fields.find(s.options.idField);
    return found != fields.end() && std::string_view(found->value().data(), found->value().size()) != s.requestId;
}

void exchange::received()
{
    state &s = *m_state;
    const bool isInterim = s.parser->get().result_int() < 200;
    if (isInterim || isStrayAnswer()) {
        if (++s.strayAnswers > mostStrayAnswers) {
            fail("receive answer", "answers to other requests");
        } else {
            receive();
        }
        return;
    }
    exchange_result result;
    result.verdict = exchange_verdict::answered;
    auto message = s.parser->release();
    result.answer.status = static_cast<int>(message.result_int());
    result.answer.reason = std::string(message.reason());
    for (const auto &field : message) {
        const auto name = field.name_string();
        const auto value = field.value();
        result.answer.fields.add({name.data(), name.size()}, {value.data(), value.size()});
    }
    result.answer.body = std::move(message.body());
    const bool isReusable = message.keep_alive() && s.isWritten && s.buffer.size() == 0 && s.strayAnswers == 0;
    if (isReusable) {
        const duration usableFor = keepAliveOf(result.answer.fields.value("Keep-Alive"));
        if (usableFor > duration::zero()) {
            s.pool.put(s.options.poolKey, std::move(s.socket), usableFor, std::chrono::steady_clock::now());
        }
    }
    end(std::move(result));
}

void exchange::fail(std::string_view step, const std::string &reason, bool isPeersEnd)
{
    state &s = *m_state;
    if (s.hasEnded) {
        return;
    }
    exchange_result result;
    result.verdict = s.isSent ? exchange_verdict::mayHaveRun : exchange_verdict::notSent;
    result.problem = {std::string(step), toString(s.peer), reason};
    result.wasClosedByPeer = isPeersEnd;
    // Connections to one peer tend to break together.
    s.pool.drop(s.options.poolKey);
    end(std::move(result));
}

void exchange::cancel()
{
    state &s = *m_state;
    if (s.hasEnded) {
        return;
    }
    exchange_result result;
    result.verdict = s.isSent ? exchange_verdict::mayHaveRun : exchange_verdict::notSent;
    result.problem = {"exchange", toString(s.peer), "broken off"};
    result.wasCancelled = true;
    end(std::move(result));
}

void exchange::end(exchange_result result)
{
    state &s = *m_state;
    s.hasEnded = true;
    result.wasReused = s.idleFor.has_value();
    result.idleFor = s.idleFor.value_or(duration::zero());
    s.connectTimer.cancel();
    error_code ignored; // The socket is given up either way.
    s.socket.close(ignored);
    asio::post(s.loop, [onEnd = std::move(s.onEnd), ended = std::move(result)]() mutable { onEnd(std::move(ended)); });
}

void runWithTimeout(asio::io_context &loop, connection_pool &pool, const endpoint &peer, const exchange_options &options,
                    const http_exchange_request &request, milliseconds timeout, std::function<void(result<http_exchange_answer>)> onEnd)
{
    auto timer = std::make_shared<asio::steady_timer>(loop, timeout);
    auto run = std::make_shared<exchange>(loop, pool, peer, options);
    run->start(request, [timer, onEnd = std::move(onEnd), timeout](exchange_result end) {
        timer->cancel();
        if (end.verdict == exchange_verdict::answered) {
            onEnd(std::move(end.answer));
        } else if (end.wasCancelled) {
            onEnd(error{end.problem.step, end.problem.peer, "no answer within " + std::to_string(timeout.count()) + " ms"});
        } else {
            onEnd(std::move(end.problem));
        }
    });
    timer->async_wait([run, timer](error_code aborted) {
        if (!aborted) {
            run->cancel();
        }
    });
}

} // namespace flamingofield
