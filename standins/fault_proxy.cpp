#include "fault_proxy.hpp"

#include <boost/asio.hpp>

#include <array>
#include <atomic>
#include <mutex>
#include <set>
#include <thread>

namespace standins {

namespace asio = boost::asio;
using asio::ip::tcp;
using flamingofield::endpoint;
using flamingofield::milliseconds;

namespace {

constexpr std::size_t bufferBytes = 16384;

tcp::endpoint toAsio(const endpoint &e)
{
    return {asio::ip::make_address_v4(e.host), e.port};
}

/// Faults shared by a proxy and its sessions.
struct shared_faults
{
    std::mutex mutex;
    link_faults faults;
    std::uint64_t silencedBelow = 0; ///< All bytes of sessions with a lower number are discarded.

    link_faults get()
    {
        const std::lock_guard lock(mutex);
        return faults;
    }

    bool isSilenced(std::uint64_t session)
    {
        const std::lock_guard lock(mutex);
        return session < silencedBelow;
    }
};

/// One connection through the proxy.
class session : public std::enable_shared_from_this<session>
{
public:
    session(tcp::socket client, std::uint64_t number, std::shared_ptr<shared_faults> sharedFaults)
        : m_client(std::move(client))
        , m_server(m_client.get_executor())
        , m_number(number)
        , m_sharedFaults(std::move(sharedFaults))
    {
    }

    void start(const tcp::endpoint &server)
    {
        auto self = shared_from_this();
        m_server.async_connect(server, [self](const boost::system::error_code &failure) {
            if (failure) {
                self->close();
                return;
            }
            boost::system::error_code ignored;
            self->m_client.set_option(tcp::no_delay(true), ignored);
            self->m_server.set_option(tcp::no_delay(true), ignored);
            self->pump(self->m_client, self->m_server, self->m_toServer, true);
            self->pump(self->m_server, self->m_client, self->m_toClient, false);
        });
    }

private:
    using buffer = std::array<char, bufferBytes>;

    void close()
    {
        boost::system::error_code ignored;
        m_client.close(ignored);
        m_server.close(ignored);
    }

    void pump(tcp::socket &from, tcp::socket &to, buffer &bytes, bool isToServer)
    {
        auto self = shared_from_this();
        from.async_read_some(asio::buffer(bytes),
                             [self, &from, &to, &bytes, isToServer](const boost::system::error_code &failure, std::size_t count) {
                                 if (failure) {
                                     self->close();
                                     return;
                                 }
                                 self->relay(from, to, bytes, isToServer, count);
                             });
    }

    void relay(tcp::socket &from, tcp::socket &to, buffer &bytes, bool isToServer, std::size_t count)
    {
        const link_faults faults = m_sharedFaults->get();
        const bool shouldDrop = m_sharedFaults->isSilenced(m_number) || (isToServer ? faults.dropToServer : faults.dropToClient);
        if (shouldDrop) {
            pump(from, to, bytes, isToServer);
            return;
        }
        std::size_t allowed = count;
        if (!isToServer && faults.closeAfterBytesToClient) {
            allowed = std::min(count, *faults.closeAfterBytesToClient - std::min(*faults.closeAfterBytesToClient, m_sentToClient));
            m_sentToClient += allowed;
        }
        const bool shouldClose = allowed < count;
        auto self = shared_from_this();
        auto write = [self, &from, &to, &bytes, isToServer, allowed, shouldClose] {
            asio::async_write(to, asio::buffer(bytes, allowed),
                              [self, &from, &to, &bytes, isToServer, shouldClose](const boost::system::error_code &failure, std::size_t) {
                                  if (failure || shouldClose) {
                                      self->close();
                                      return;
                                  }
                                  self->pump(from, to, bytes, isToServer);
                              });
        };
        if (faults.delay.count() == 0) {
            write();
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(m_client.get_executor(), faults.delay);
        timer->async_wait([timer, write](const boost::system::error_code &) { write(); });
    }

    tcp::socket m_client;
    tcp::socket m_server;
    std::uint64_t m_number;
    std::shared_ptr<shared_faults> m_sharedFaults;
    buffer m_toServer{};
    buffer m_toClient{};
    std::size_t m_sentToClient = 0;
};

} // namespace

class fault_proxy::implementation
{
public:
    explicit implementation(const endpoint &server)
        : m_server(toAsio(server))
        , m_acceptor(m_context)
    {
    }

    ~implementation()
    {
        m_context.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    flamingofield::result<std::uint16_t> start(const endpoint &address)
    {
        boost::system::error_code failure;
        m_acceptor.open(tcp::v4(), failure);
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
        m_acceptor.bind(toAsio(address), failure);
        if (!failure) {
            m_acceptor.listen(asio::socket_base::max_listen_connections, failure);
        }
        if (failure) {
            return flamingofield::error{"listen", toString(address), failure.message()};
        }
        accept();
        m_thread = std::thread([this] { m_context.run(); });
        return m_acceptor.local_endpoint().port();
    }

    void setFaults(const link_faults &faults)
    {
        const std::lock_guard lock(m_sharedFaults->mutex);
        if (faults.silenceExisting && !m_sharedFaults->faults.silenceExisting) {
            m_sharedFaults->silencedBelow = m_accepted;
        }
        m_sharedFaults->faults = faults;
    }

    std::size_t accepted() const
    {
        return m_accepted;
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &failure, tcp::socket client) {
            if (!failure) {
                const std::uint64_t number = m_accepted++;
                if (m_sharedFaults->get().refuseConnections) {
                    client.close();
                } else {
                    std::make_shared<session>(std::move(client), number, m_sharedFaults)->start(m_server);
                }
            }
            accept();
        });
    }

    tcp::endpoint m_server;
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::shared_ptr<shared_faults> m_sharedFaults = std::make_shared<shared_faults>();
    std::atomic<std::uint64_t> m_accepted{0};
    std::thread m_thread;
};

fault_proxy::fault_proxy(const endpoint &server)
    : m_implementation(std::make_shared<implementation>(server))
{
}

fault_proxy::~fault_proxy() = default;

flamingofield::result<std::uint16_t> fault_proxy::start(const endpoint &address)
{
    return m_implementation->start(address);
}

void fault_proxy::setFaults(const link_faults &faults)
{
    m_implementation->setFaults(faults);
}

std::size_t fault_proxy::accepted() const
{
    return m_implementation->accepted();
}

} // namespace standins
