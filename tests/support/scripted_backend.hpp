#pragma once

#include "core/endpoint.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace test_support {

/// How a scripted backend answers one request.
struct backend_reply
{
    std::string bytes; ///< Sent unchanged; empty for no answer.
    bool closesConnection = false; ///< Closes the connection after the bytes.
    bool resetsConnection = false; ///< Resets the connection after the bytes.
    std::chrono::milliseconds delay{0}; ///< Delay before the reply.
    std::string endlessBytes{}; ///< Sent after the others, again and again until the caller closes the connection.
    bool stopsReading = false; ///< Reads nothing after the bytes and leaves the connection open.
    bool endsStream = false; ///< The same, and ends the stream to the caller after the bytes.
    bool readsBeforeClosing = false; ///< Reads what has arrived before closing the connection, which then ends without a reset.
};

using backend_request = boost::beast::http::request<boost::beast::http::string_body>;

/// Backend server whose replies a test specifies byte by byte; runs on the test's event loop.
class scripted_backend
{
public:
    using script = std::function<backend_reply(const backend_request &)>;
    static constexpr std::size_t shortBody = 1U << 20U;

    scripted_backend(boost::asio::io_context &loop, const flamingofield::endpoint &address, script reply)
        : m_acceptor(loop, {boost::asio::ip::make_address_v4(address.host), address.port})
        , m_reply(std::move(reply))
    {
        accept();
    }

    /// Refuses further connections.
    void stopAccepting()
    {
        m_acceptor.close();
    }

    std::vector<backend_request> requests;
    int connections = 0;
    std::size_t endlessBytesSent = 0;
    int openEndlessReplies = 0; ///< Connections on which endless bytes are being sent.
    /// Replies to a request with a body above shortBody when its head is complete, and does not read the body.
    bool answersLongRequestsEarly = false;
    int failedReads = 0; ///< Connections whose next request could not be read, usually because the peer closed them.

private:
    struct connection
    {
        explicit connection(boost::asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        boost::asio::ip::tcp::socket socket;
        boost::beast::flat_buffer buffer;
        std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser;
        std::string bytes;
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code failure, boost::asio::ip::tcp::socket socket) {
            if (!failure) {
                ++connections;
                read(std::make_shared<connection>(std::move(socket)));
                accept();
            }
        });
    }

    void read(const std::shared_ptr<connection> &client)
    {
        client->parser.emplace();
        client->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
        boost::beast::http::async_read_header(client->socket, client->buffer, *client->parser,
                                              [this, client](boost::system::error_code failure, std::size_t) {
                                                  const bool isLong = client->parser->content_length().value_or(0) > shortBody;
                                                  if (failure || (isLong && answersLongRequestsEarly)) {
                                                      handleRead(client, failure);
                                                  } else {
                                                      readBody(client);
                                                  }
                                              });
    }

    void readBody(const std::shared_ptr<connection> &client)
    {
        boost::beast::http::async_read(client->socket, client->buffer, *client->parser,
                                       [this, client](boost::system::error_code failure, std::size_t) { handleRead(client, failure); });
    }

    void handleRead(const std::shared_ptr<connection> &client, boost::system::error_code failure)
    {
        if (failure) {
            ++failedReads;
            return;
        }
        requests.push_back(client->parser->get());
        replyAfterDelay(client, m_reply(requests.back()));
    }

    void replyAfterDelay(const std::shared_ptr<connection> &client, const backend_reply &response)
    {
        if (response.delay.count() == 0) {
            reply(client, response);
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(client->socket.get_executor(), response.delay);
        timer->async_wait([this, timer, client, response](boost::system::error_code) { reply(client, response); });
    }

    void reply(const std::shared_ptr<connection> &client, const backend_reply &response)
    {
        client->bytes = response.bytes;
        boost::asio::async_write(client->socket, boost::asio::buffer(client->bytes),
                                 [this, client, response](boost::system::error_code failure, std::size_t) {
                                     boost::system::error_code ignored;
                                     if (response.readsBeforeClosing) {
                                         readArrived(*client);
                                     }
                                     if (response.resetsConnection) {
                                         client->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
                                     }
                                     if (failure || response.closesConnection || response.resetsConnection) {
                                         client->socket.close(ignored);
                                         return;
                                     }
                                     if (!response.endlessBytes.empty()) {
                                         client->bytes = response.endlessBytes;
                                         ++openEndlessReplies;
                                         replyWithoutEnd(client);
                                         return;
                                     }
                                     if (response.stopsReading || response.endsStream) {
                                         if (response.endsStream) {
                                             client->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
                                         }
                                         m_unread.push_back(client);
                                         return;
                                     }
                                     read(client);
                                 });
    }

    static void readArrived(connection &client)
    {
        boost::system::error_code failure;
        client.socket.non_blocking(true, failure);
        std::string discarded(65536, '\0');
        while (!failure) {
            client.socket.read_some(boost::asio::buffer(discarded), failure);
        }
    }

    void replyWithoutEnd(const std::shared_ptr<connection> &client)
    {
        boost::asio::async_write(client->socket, boost::asio::buffer(client->bytes),
                                 [this, client](boost::system::error_code failure, std::size_t count) {
                                     endlessBytesSent += count;
                                     if (failure) {
                                         --openEndlessReplies;
                                         return;
                                     }
                                     replyWithoutEnd(client);
                                 });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    script m_reply;
    std::vector<std::shared_ptr<connection>> m_unread; ///< Connections that stay open and are not read.
};

} // namespace test_support
