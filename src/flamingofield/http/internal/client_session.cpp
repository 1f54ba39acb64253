#include "http/internal/client_session.hpp"

#include "report/log.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>

namespace flamingofield {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// The kernel ends a client connection whose sent bytes stay unacknowledged for this long.
constexpr milliseconds clientUnacknowledgedTimeout{10000};
/// Time for a client to read its last answer and close before the connection is closed.
constexpr milliseconds lingerTimeout{1500};
/// Time for a client to receive an answer.
constexpr milliseconds writeTimeout{20000};
/// Size of the reads that detect a request.
constexpr std::size_t readSize = 8192;

} // namespace

client_session::client_session(std::shared_ptr<listener::shared_state> owner, tcp_socket socket)
    : m_owner(std::move(owner))
    , m_socket(std::move(socket))
{
    setSocketOptions(m_socket, clientUnacknowledgedTimeout);
}

void client_session::start()
{
    enter(phase::idle);
    startRead();
}

void client_session::answer(const http_answer_message &answer)
{
    if (m_phase != phase::waiting) {
        return;
    }
    m_onDisconnect = nullptr;
    write(answer, !m_isKeepAlive || m_owner->isDraining);
}

void client_session::onClientDisconnect(std::function<void()> handler)
{
    m_onDisconnect = std::move(handler);
}

const http_request_message &client_session::request() const
{
    return m_request;
}

void client_session::closeIfIdle()
{
    if (m_phase != phase::idle) {
        return;
    }
    // The read may have ended with a request whose handler is still to run. If it has not, handleRead() closes the connection.
    m_closesIfIdle = true;
    error_code ignored; // Without a read to cancel, the connection is about to get its next request.
    m_socket.cancel(ignored);
}

bool client_session::isUnfinished() const
{
    return m_phase == phase::waiting || m_phase == phase::writing || m_phase == phase::lingering;
}

void client_session::tick(instant now)
{
    const duration phaseDuration = now - m_phaseStart;
    const client_connection_limits limits = m_owner->limits();
    switch (m_phase) {
    case phase::idle:
        if (phaseDuration > limits.idleTimeout) {
            closeIfIdle();
        }
        break;
    case phase::reading:
        if (phaseDuration > (m_hasHead ? limits.bodyTimeout : limits.headerTimeout)) {
            refuse(408, "the request was not complete in time");
        }
        break;
    case phase::writing:
        if (phaseDuration > writeTimeout) {
            close();
        }
        break;
    case phase::lingering:
        if (phaseDuration > lingerTimeout) {
            close();
        }
        break;
    case phase::waiting:
    case phase::closed:
        break;
    }
}

void client_session::close()
{
    if (m_phase == phase::closed) {
        return;
    }
    const bool hadPendingRequest = m_phase == phase::waiting;
    m_phase = phase::closed;
    error_code ignored; // The connection is discarded in any case.
    m_socket.close(ignored);
    if (hadPendingRequest) {
        if (auto onDisconnect = std::move(m_onDisconnect)) {
            onDisconnect();
        }
    }
    m_owner->sessions.erase(shared_from_this());
}

void client_session::enter(phase next)
{
    m_phase = next;
    m_phaseStart = std::chrono::steady_clock::now();
}

void client_session::startRead()
{
    if (m_isReading || m_phase == phase::closed) {
        return;
    }
    m_isReading = true;
    m_socket.async_read_some(m_buffer.prepare(readSize), [self = shared_from_this()](error_code failure, std::size_t count) {
        self->m_isReading = false;
        self->m_buffer.commit(count);
        self->handleRead(failure);
    });
}

void client_session::handleRead(error_code failure)
{
    if (m_phase == phase::closed) {
        return;
    }
    const bool wasCancelled = failure == asio::error::operation_aborted && m_phase == phase::idle && m_closesIfIdle;
    m_closesIfIdle = false;
    if (wasCancelled && hasPendingInput(m_socket)) {
        startRead();
    } else if (failure) {
        close();
    } else if (m_phase == phase::idle) {
        readRequest();
    } else if (m_phase == phase::lingering) {
        m_buffer.clear();
        startRead();
    }
    // Bytes received while a request waits for its answer belong to the next request and stay in the buffer.
}

void client_session::readRequest()
{
    enter(phase::reading);
    m_hasHead = false;
    const client_connection_limits limits = m_owner->limits();
    // Bounds what the parser takes only as a whole: the head, each chunk header and the trailer.
    m_buffer.max_size(std::max(limits.headerBytes + readSize, m_buffer.size()));
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    m_parser->body_limit(limits.bodyBytes);
    m_isReading = true;
    http::async_read_header(m_socket, m_buffer, *m_parser, [self = shared_from_this()](error_code failure, std::size_t) {
        self->m_isReading = false;
        self->handleHead(failure);
    });
}

void client_session::handleHead(error_code failure)
{
    if (m_phase != phase::reading) {
        return;
    }
    if (failure) {
        refuseBadRequest(failure);
        return;
    }
    m_hasHead = true;
    enter(phase::reading);
    const auto expect = m_parser->get()[http::field::expect];
    if (boost::beast::iequals(expect, "100-continue")) {
        static const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
        asio::async_write(m_socket, asio::buffer(interim), [self = shared_from_this()](error_code failed, std::size_t) {
            if (!failed) {
                self->readBody();
            } else {
                self->close();
            }
        });
    } else {
        readBody();
    }
}

void client_session::readBody()
{
    if (m_phase != phase::reading) {
        return;
    }
    if (m_parser->is_done()) {
        handleRequest();
        return;
    }
    m_isReading = true;
    http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](error_code failure, std::size_t) {
        self->m_isReading = false;
        if (self->m_phase != phase::reading) {
            return;
        }
        if (failure) {
            self->refuseBadRequest(failure);
        } else {
            self->handleRequest();
        }
    });
}

void client_session::refuseBadRequest(error_code failure)
{
    if (failure == http::error::header_limit) {
        refuse(431, "the header is too long");
    } else if (failure == http::error::body_limit) {
        refuse(413, "the body is too long");
    } else if (failure == http::error::buffer_overflow) {
        refuse(400, "a chunk header or the trailer is longer than the limit of the header");
    } else if (failure.category() == make_error_code(http::error::bad_method).category() && failure != http::error::end_of_stream
               && failure != http::error::partial_message) {
        refuse(400, "not a sound HTTP request");
    } else {
        close();
    }
}

void client_session::refuse(int status, std::string_view reason)
{
    error_code disconnected; // Set if the client has disconnected, which leaves no address.
    const auto peer = m_socket.remote_endpoint(disconnected);
    logEvent(
        log_level::warn, "bad_request",
        {{"peer", disconnected ? "" : peer.address().to_string()}, {"status", std::to_string(status)}, {"reason", std::string(reason)}});
    write(errorAnswer(status, reason), true);
}

void client_session::handleRequest()
{
    auto message = m_parser->release();
    m_isKeepAlive = message.keep_alive();
    m_request = http_request_message();
    m_request.method = std::string(message.method_string());
    m_request.target = std::string(message.target());
    for (const auto &field : message) {
        const auto name = field.name_string();
        const auto value = field.value();
        m_request.fields.add({name.data(), name.size()}, {value.data(), value.size()});
    }
    m_request.body = std::move(message.body());
    enter(phase::waiting);
    if (m_buffer.size() == 0) {
        startRead();
    }
    m_owner->onRequest(shared_from_this());
}

void client_session::write(const http_answer_message &answer, bool closesConnection)
{
    enter(phase::writing);
    m_output = serialize(answer, {m_request.method == "HEAD", closesConnection});
    asio::async_write(m_socket, asio::buffer(m_output), [self = shared_from_this(), closesConnection](error_code failure, std::size_t) {
        if (self->m_phase != phase::writing) {
            return;
        }
        if (failure) {
            self->close();
        } else if (closesConnection) {
            self->startLingering();
        } else {
            self->awaitNextRequest();
        }
    });
}

void client_session::startLingering()
{
    enter(phase::lingering);
    error_code ignored; // The client may have closed the connection already.
    m_socket.shutdown(tcp_socket::shutdown_send, ignored);
    m_buffer.clear();
    startRead();
}

void client_session::awaitNextRequest()
{
    m_output.clear();
    enter(phase::idle);
    if (m_buffer.size() > 0 && !m_isReading) {
        readRequest();
    } else {
        startRead();
    }
}

} // namespace flamingofield
