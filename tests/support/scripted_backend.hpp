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
#include <memory>
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
};

using backend_request = boost::beast::http::request<boost::beast::http::string_body>;

/// Backend server whose replies a test specifies byte by byte; runs on the test's event loop.
class scripted_backend
{
public:
    using script = std::function<backend_reply(const backend_request &)>;

    scripted_backend(boost::asio::io_context &loop, const flamingofield::endpoint &address, script reply)
        : m_acceptor(loop, {boost::asio::ip::make_address_v4(address.host), address.port})
        , m_reply(std::move(reply))
    {
        accept();
    }

    std::vector<backend_request> requests;
    int connections = 0;
    std::size_t endlessBytesSent = 0;
    int openEndlessReplies = 0; ///< Connections on which endless bytes are being sent.
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
        backend_request request;
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
        client->request = {};
        boost::beast::http::async_read(client->socket, client->buffer, client->request,
                                       [this, client](boost::system::error_code failure, std::size_t) {
                                           if (failure) {
                                               ++failedReads;
                                               return;
                                           }
                                           requests.push_back(client->request);
                                           replyAfterDelay(client, m_reply(client->request));
                                       });
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
                                     read(client);
                                 });
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
};

} // namespace test_support
