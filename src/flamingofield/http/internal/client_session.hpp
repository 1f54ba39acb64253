#pragma once

#include "http/connection_pool.hpp"
#include "http/listener.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <unordered_set>

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
    std::unordered_set<std::shared_ptr<client_session>> sessions;
    bool isDraining = false;
    bool isStopped = false;
};

/// One client connection, which serves one request after another.
class client_session : public pending_request, public std::enable_shared_from_this<client_session>
{
public:
    client_session(std::shared_ptr<listener::shared_state> owner, tcp_socket socket);

    void start();

    void answer(const http_answer_message &answer) override;

    void onClientDisconnect(std::function<void()> handler) override;

    const http_request_message &request() const override;

    /// Closes the connection if it has no request, not even one that has arrived but has not been read.
    void closeIfIdle();

    /// True from a complete request until its answer is written, or until the client closes a connection that ends with it.
    bool isUnfinished() const;

    void tick(instant now);

    void close();

private:
    enum class phase { idle, reading, waiting, writing, lingering, closed };

    void enter(phase next);

    /// Starts a read if none is pending; it detects the next request and a disconnect of the client.
    void startRead();

    void handleRead(boost::system::error_code failure);

    void readRequest();

    void handleHead(boost::system::error_code failure);

    void readBody();

    void refuseBadRequest(boost::system::error_code failure);

    /// Answers an incomplete or invalid request with an error, logs it and closes the connection.
    void refuse(int status, std::string_view reason);

    void handleRequest();

    void write(const http_answer_message &answer, bool closesConnection);

    /// Shuts down the sending side and discards input for a while: closing with unread bytes would send a reset, which can
    /// discard the answer before the client reads it.
    void startLingering();

    void awaitNextRequest();

    std::shared_ptr<listener::shared_state> m_owner;
    tcp_socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    http_request_message m_request;
    std::string m_output;
    std::function<void()> m_onDisconnect;
    phase m_phase = phase::idle;
    instant m_phaseStart{};
    bool m_isReading = false;
    bool m_closesIfIdle = false; ///< The current read was cancelled to close the connection.
    bool m_hasHead = false;
    bool m_isKeepAlive = true;
};

} // namespace flamingofield
