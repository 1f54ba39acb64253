#include "connection_burst.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace standins {

using flamingofield::duration;
using flamingofield::instant;

std::vector<duration> openConnectionBurst(const flamingofield::endpoint &address, std::size_t count, flamingofield::milliseconds timeout)
{
    namespace asio = boost::asio;
    asio::io_context loop(1);
    const asio::ip::tcp::endpoint peer(asio::ip::make_address_v4(address.host), address.port);
    std::vector<asio::ip::tcp::socket> sockets;
    sockets.reserve(count);
    std::vector<duration> times;
    std::size_t running = count;
    const instant start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < count; ++i) {
        sockets.emplace_back(loop).async_connect(peer, [&](boost::system::error_code failure) {
            if (!failure) {
                times.push_back(std::chrono::steady_clock::now() - start);
            }
            if (--running == 0) {
                loop.stop();
            }
        });
    }
    loop.run_for(timeout);
    return times;
}

} // namespace standins
