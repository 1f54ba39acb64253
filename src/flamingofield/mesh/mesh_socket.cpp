#include "mesh/mesh_socket.hpp"

#include "report/log.hpp"

#include <boost/asio/ip/udp.hpp>

#include <array>

namespace flamingofield {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Largest UDP payload over IPv4.
constexpr std::size_t maxDatagramBytes = 65507;

result<mesh_datagram> decodeDatagram(std::string_view bytes)
{
    if (isUsageMessage(bytes)) {
        BOOST_OUTCOME_TRY(usage, decodeUsageMessage(bytes));
        return mesh_datagram(std::move(usage));
    }
    BOOST_OUTCOME_TRY(message, decodeMeshMessage(bytes));
    return mesh_datagram(std::move(message));
}

} // namespace

struct mesh_socket::state
{
    state(asio::io_context &loop, handler handle)
        : socket(loop)
        , onMessage(std::move(handle))
    {
    }

    asio::ip::udp::socket socket;
    handler onMessage;
    std::array<char, maxDatagramBytes> buffer{};
    asio::ip::udp::endpoint sender;
    std::uint64_t rejectedCount = 0;
    bool isStopped = false;
};

mesh_socket::mesh_socket(asio::io_context &loop, handler onMessage)
    : m_state(std::make_shared<state>(loop, std::move(onMessage)))
{
}

mesh_socket::~mesh_socket()
{
    m_state->isStopped = true;
    error_code ignored; // There is nothing to recover on shutdown.
    m_state->socket.close(ignored);
}

result<void> mesh_socket::start(const endpoint &address)
{
    error_code failure;
    const asio::ip::udp::endpoint bound(asio::ip::make_address_v4(address.host, failure), address.port);
    if (!failure) {
        m_state->socket.open(bound.protocol(), failure);
    }
    if (!failure) {
        m_state->socket.bind(bound, failure);
    }
    if (!failure) {
        m_state->socket.non_blocking(true, failure);
    }
    if (failure) {
        return error{"bind", toString(address), failure.message()};
    }
    receive();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void mesh_socket::send(const endpoint &peer, const std::string &bytes)
{
    error_code ignored; // Datagrams may be lost anyway; the next message carries the current state.
    m_state->socket.send_to(asio::buffer(bytes), {asio::ip::make_address_v4(peer.host, ignored), peer.port}, 0, ignored);
}

void mesh_socket::receive()
{
    m_state->socket.async_receive_from(
        asio::buffer(m_state->buffer), m_state->sender, [this, state = m_state](error_code failure, std::size_t count) {
            if (state->isStopped) {
                return;
            }
            if (!failure) {
                const auto message = decodeDatagram({state->buffer.data(), count});
                if (message) {
                    state->onMessage(message.value());
                } else if (state->rejectedCount++ == 0) {
                    // Logged once only: enough to reveal mixed releases or a foreign sender.
                    logEvent(log_level::warn, "peer_message_rejected",
                             {{"peer", state->sender.address().to_string()}, {"error", describe(message.error())}});
                }
            }
            receive();
        });
}

} // namespace flamingofield
