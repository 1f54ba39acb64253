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

/// What a scripted backend does with one request.
struct backend_reply
{
    std::string bytes; ///< Sent as they are; empty for silence.
    bool closes = false; ///< Ends the connection after the bytes.
    bool resets = false; ///< Resets the connection after the bytes.
    std::chrono::milliseconds work{0}; ///< Time before the reply.
};

using backend_request = boost::beast::http::request<boost::beast::http::string_body>;

/// Backend server whose replies a test writes byte by byte; runs on the test's event loop.
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
    int closedByPeer = 0; ///< Connections that the other side ended.

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

    void read(const std::shared_ptr<connection> &each)
    {
        each->request = {};
        boost::beast::http::async_read(each->socket, each->buffer, each->request,
                                       [this, each](boost::system::error_code failure, std::size_t) {
                                           if (failure) {
                                               ++closedByPeer;
                                               return;
                                           }
                                           requests.push_back(each->request);
                                           replyAfterWork(each, m_reply(each->request));
                                       });
    }

    void replyAfterWork(const std::shared_ptr<connection> &each, const backend_reply &what)
    {
        if (what.work.count() == 0) {
            reply(each, what);
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(each->socket.get_executor(), what.work);
        timer->async_wait([this, timer, each, what](boost::system::error_code) { reply(each, what); });
    }

    void reply(const std::shared_ptr<connection> &each, const backend_reply &what)
    {
        each->bytes = what.bytes;
        boost::asio::async_write(each->socket, boost::asio::buffer(each->bytes),
                                 [this, each, what](boost::system::error_code failure, std::size_t) {
                                     boost::system::error_code ignored;
                                     if (what.resets) {
                                         each->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
                                     }
                                     if (failure || what.closes || what.resets) {
                                         each->socket.close(ignored);
                                         return;
                                     }
                                     read(each);
                                 });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    script m_reply;
};

} // namespace test_support
