#include "http/listener.hpp"

#include "http/connection_pool.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <unordered_set>

namespace flamingofield {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Connections that wait to be accepted; a power of two above the bursts of reconnecting clients.
constexpr int backlog = 1024;
/// Time after which the kernel gives up a client that acknowledges nothing.
constexpr milliseconds clientUnacknowledged{10000};
/// Time for a client to read its last answer before the connection is closed.
constexpr milliseconds lingerTime{1500};
/// Time for a client to take an answer.
constexpr milliseconds writeTimeout{20000};
/// Pause after a failed accept, as when descriptors have run out.
constexpr milliseconds acceptPause{50};

using request_parser = http::request_parser<http::string_body>;

} // namespace

struct listener::shared_state
{
    shared_state(asio::io_context &context, limits_source source, handler onNew)
        : loop(context)
        , acceptor(context)
        , acceptTimer(context)
        , limits(std::move(source))
        , onRequest(std::move(onNew))
    {
    }

    asio::io_context &loop;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    limits_source limits;
    handler onRequest;
    std::unordered_set<std::shared_ptr<session>> sessions;
    std::size_t pending = 0;
    bool isDraining = false;
    bool isStopped = false;
};

/// One client connection: reads a request, waits for its answer, writes it, and so on.
class listener::session : public pending_request, public std::enable_shared_from_this<listener::session>
{
public:
    session(std::shared_ptr<shared_state> owner, tcp_socket socket)
        : m_owner(std::move(owner))
        , m_socket(std::move(socket))
    {
        setSocketOptions(m_socket, clientUnacknowledged);
    }

    void start()
    {
        enter(phase::idle);
        watch();
    }

    void answer(const http_exchange_answer &answer) override
    {
        if (m_phase != phase::waiting) {
            return;
        }
        --m_owner->pending;
        m_onLeave = nullptr;
        write(answer, !m_keepsOpen || m_owner->isDraining);
    }

    void whenClientLeaves(std::function<void()> handler) override
    {
        m_onLeave = std::move(handler);
    }

    const http_exchange_request &request() const override
    {
        return m_request;
    }

    bool isIdle() const
    {
        return m_phase == phase::idle;
    }

    void tick(instant now)
    {
        const duration spent = now - m_since;
        const client_connection_limits limits = m_owner->limits();
        switch (m_phase) {
        case phase::idle:
            if (spent > limits.idleTimeout) {
                close();
            }
            break;
        case phase::reading:
            if (spent > (m_hasHead ? limits.bodyTimeout : limits.headerTimeout)) {
                write(errorAnswer(408, "the request was not complete in time"), true);
            }
            break;
        case phase::writing:
            if (spent > writeTimeout) {
                close();
            }
            break;
        case phase::lingering:
            if (spent > lingerTime) {
                close();
            }
            break;
        case phase::waiting:
        case phase::closed:
            break;
        }
    }

    void close()
    {
        if (m_phase == phase::closed) {
            return;
        }
        const bool hadRequest = m_phase == phase::waiting;
        m_phase = phase::closed;
        error_code ignored; // The connection is given up either way.
        m_socket.close(ignored);
        if (hadRequest) {
            --m_owner->pending;
            if (auto onLeave = std::move(m_onLeave)) {
                onLeave();
            }
        }
        m_owner->sessions.erase(shared_from_this());
    }

private:
    enum class phase { idle, reading, waiting, writing, lingering, closed };

    void enter(phase next)
    {
        m_phase = next;
        m_since = std::chrono::steady_clock::now();
    }

    /// Keeps one read pending, which notices both the next request and the client's leaving.
    void watch()
    {
        constexpr std::size_t readSize = 8192;
        if (m_isReading || m_phase == phase::closed) {
            return;
        }
        m_isReading = true;
        m_socket.async_read_some(m_buffer.prepare(readSize), [self = shared_from_this()](error_code failure, std::size_t count) {
            self->m_isReading = false;
            self->m_buffer.commit(count);
            self->wasRead(failure);
        });
    }

    void wasRead(error_code failure)
    {
        if (m_phase == phase::closed) {
            return;
        }
        if (failure) {
            close();
        } else if (m_phase == phase::idle) {
            readRequest();
        } else if (m_phase == phase::lingering) {
            m_buffer.clear();
            watch();
        }
        // Bytes that come while a request waits belong to the next one and stay in the buffer.
    }

    void readRequest()
    {
        enter(phase::reading);
        m_hasHead = false;
        const client_connection_limits limits = m_owner->limits();
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        m_parser->body_limit(limits.bodyBytes);
        m_isReading = true;
        http::async_read_header(m_socket, m_buffer, *m_parser, [self = shared_from_this()](error_code failure, std::size_t) {
            self->m_isReading = false;
            self->headWasRead(failure);
        });
    }

    void headWasRead(error_code failure)
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

    void readBody()
    {
        if (m_phase != phase::reading) {
            return;
        }
        if (m_parser->is_done()) {
            requestWasRead();
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
                self->requestWasRead();
            }
        });
    }

    void refuseBadRequest(error_code failure)
    {
        if (failure == http::error::header_limit) {
            write(errorAnswer(431, "the header is too long"), true);
        } else if (failure == http::error::body_limit) {
            write(errorAnswer(413, "the body is too long"), true);
        } else if (failure.category() == make_error_code(http::error::bad_method).category() && failure != http::error::end_of_stream
                   && failure != http::error::partial_message) {
            write(errorAnswer(400, "not a sound HTTP request"), true);
        } else {
            close();
        }
    }

    void requestWasRead()
    {
        auto message = m_parser->release();
        m_keepsOpen = message.keep_alive();
        m_request = http_exchange_request();
        m_request.method = std::string(message.method_string());
        m_request.target = std::string(message.target());
        for (const auto &field : message) {
            const auto name = field.name_string();
            const auto value = field.value();
            m_request.fields.add({name.data(), name.size()}, {value.data(), value.size()});
        }
        m_request.body = std::move(message.body());
        enter(phase::waiting);
        ++m_owner->pending;
        if (m_buffer.size() == 0) {
            watch();
        }
        m_owner->onRequest(shared_from_this());
    }

    void write(const http_exchange_answer &answer, bool closes)
    {
        enter(phase::writing);
        m_bytes = serialize(answer, {m_request.method == "HEAD", closes});
        asio::async_write(m_socket, asio::buffer(m_bytes), [self = shared_from_this(), closes](error_code failure, std::size_t) {
            if (self->m_phase != phase::writing) {
                return;
            }
            if (failure) {
                self->close();
            } else if (closes) {
                self->linger();
            } else {
                self->next();
            }
        });
    }

    /// Ends the sending side and reads on for a while, since closing with unread bytes would reset the answer away.
    void linger()
    {
        enter(phase::lingering);
        error_code ignored; // A client that has left already ends the connection by itself.
        m_socket.shutdown(tcp_socket::shutdown_send, ignored);
        m_buffer.clear();
        watch();
    }

    void next()
    {
        m_bytes.clear();
        enter(phase::idle);
        if (m_buffer.size() > 0 && !m_isReading) {
            readRequest();
        } else {
            watch();
        }
    }

    std::shared_ptr<shared_state> m_owner;
    tcp_socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::optional<request_parser> m_parser;
    http_exchange_request m_request;
    std::string m_bytes;
    std::function<void()> m_onLeave;
    phase m_phase = phase::idle;
    instant m_since{};
    bool m_isReading = false;
    bool m_hasHead = false;
    bool m_keepsOpen = true;
};

listener::listener(asio::io_context &loop, limits_source limits, handler onRequest)
    : m_state(std::make_shared<shared_state>(loop, std::move(limits), std::move(onRequest)))
{
}

listener::~listener()
{
    stopAccepting();
    while (!m_state->sessions.empty()) {
        const auto last = *m_state->sessions.begin();
        last->whenClientLeaves(nullptr);
        last->close();
    }
}

result<void> listener::start(const endpoint &address)
{
    shared_state &s = *m_state;
    error_code failure;
    const auto ip = asio::ip::make_address_v4(address.host, failure);
    const asio::ip::tcp::endpoint bound(ip, address.port);
    if (!failure) {
        s.acceptor.open(bound.protocol(), failure);
    }
    if (!failure) {
        s.acceptor.set_option(asio::socket_base::reuse_address(true), failure);
    }
    if (!failure) {
        s.acceptor.bind(bound, failure);
    }
    if (!failure) {
        s.acceptor.listen(backlog, failure);
    }
    if (failure) {
        return error{"listen", toString(address), failure.message()};
    }
    accept();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void listener::accept()
{
    m_state->acceptor.async_accept([this, state = m_state](error_code failure, tcp_socket socket) {
        if (state->isStopped) {
            return;
        }
        if (failure) {
            state->acceptTimer.expires_after(acceptPause);
            state->acceptTimer.async_wait([this, state](error_code) {
                if (!state->isStopped) {
                    accept();
                }
            });
            return;
        }
        const auto accepted = std::make_shared<session>(state, std::move(socket));
        state->sessions.insert(accepted);
        accepted->start();
        accept();
    });
}

void listener::beginDraining()
{
    m_state->isDraining = true;
}

void listener::stopAccepting()
{
    shared_state &s = *m_state;
    s.isStopped = true;
    s.isDraining = true;
    error_code ignored; // Already closed is closed.
    s.acceptor.close(ignored);
    s.acceptTimer.cancel();
    const auto sessions = s.sessions;
    for (const auto &each : sessions) {
        if (each->isIdle()) {
            each->close();
        }
    }
}

void listener::tick(instant now)
{
    const auto sessions = m_state->sessions;
    for (const auto &each : sessions) {
        each->tick(now);
    }
}

std::size_t listener::pending() const
{
    return m_state->pending;
}

std::size_t listener::connections() const
{
    return m_state->sessions.size();
}

} // namespace flamingofield
