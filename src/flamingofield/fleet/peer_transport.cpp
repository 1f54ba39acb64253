#include "fleet/peer_transport.hpp"

#include "fleet/peer_message.hpp"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <arpa/inet.h>

#include <atomic>
#include <condition_variable>
#include <iterator>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

namespace flamingofield {

namespace {

constexpr int sendQueueMessages = 32;
constexpr nng_duration minReconnectMs = 200;
constexpr nng_duration maxReconnectMs = 1000;
constexpr nng_duration receiveTimeoutMs = 200;
constexpr seconds idleTimeout{20};
// nng_close() of nng 1.5.2 can wait forever for a connection that the library does not release; this was seen when sockets were closed
// while messages arrived. No request depends on these sockets any more when a node stops.
constexpr seconds closeTimeout{2};

std::string urlOf(const endpoint &address)
{
    return "tcp://" + toString(address);
}

std::string peerOf(nng_msg *message)
{
    nng_sockaddr address;
    if (nng_pipe_get_addr(nng_msg_get_pipe(message), NNG_OPT_REMADDR, &address) != 0 || address.s_family != NNG_AF_INET) {
        return "unknown";
    }
    char text[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &address.s_in.sa_addr, text, sizeof text);
    return text;
}

} // namespace

class peer_transport::implementation : public std::enable_shared_from_this<implementation>
{
public:
    explicit implementation(transport_callbacks callbacks)
        : m_callbacks(std::move(callbacks))
    {
    }

    /// Starts the thread that closes sockets; it keeps this object alive until all of them are closed.
    void startCloser()
    {
        m_closer = std::thread([self = shared_from_this()] { self->closeLoop(); });
    }

    result<void> listen(const endpoint &address)
    {
        int failure = nng_pull0_open(&m_receiving);
        if (failure == 0) {
            nng_socket_set_size(m_receiving, NNG_OPT_RECVMAXSZ, maxMessageBytes);
            nng_socket_set_ms(m_receiving, NNG_OPT_RECVTIMEO, receiveTimeoutMs);
            failure = nng_listen(m_receiving, urlOf(address).c_str(), nullptr, 0);
        }
        if (failure != 0) {
            return error{"listen", toString(address), nng_strerror(failure)};
        }
        m_isListening = true;
        m_receiver = std::thread([this] { receiveLoop(); });
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    bool send(const endpoint &peer, std::string_view bytes)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopping) {
            return false; // The closer takes the links once; a link dialled after that would stay open.
        }
        const auto found = m_links.find(toString(peer));
        link *out = found != m_links.end() ? found->second.get() : dial(peer);
        if (out == nullptr) {
            return false;
        }
        out->lastUsed = std::chrono::steady_clock::now();
        // Without NNG_FLAG_ALLOC the library copies the bytes and never writes to them.
        return nng_send(out->socket, const_cast<char *>(bytes.data()), bytes.size(), NNG_FLAG_NONBLOCK) == 0;
    }

    void closeIdle(instant now)
    {
        std::vector<std::unique_ptr<link>> idle;
        {
            const std::lock_guard lock(m_mutex);
            for (auto it = m_links.begin(); it != m_links.end();) {
                if (now - it->second->lastUsed > idleTimeout) {
                    it->second->isClosing = true;
                    idle.push_back(std::move(it->second));
                    it = m_links.erase(it);
                } else {
                    ++it;
                }
            }
        }
        if (idle.empty()) {
            return;
        }
        {
            const std::lock_guard lock(m_closeMutex);
            std::move(idle.begin(), idle.end(), std::back_inserter(m_closing));
        }
        m_closeChanged.notify_all();
    }

    bool stop()
    {
        const instant deadline = std::chrono::steady_clock::now() + closeTimeout;
        {
            const std::lock_guard lock(m_closeMutex);
            if (m_isStopping.exchange(true)) {
                return m_isClosed;
            }
        }
        m_closeChanged.notify_all();
        {
            // Waits for a callback that is running; none starts after this.
            const std::unique_lock callbackLock(m_callbackMutex, deadline);
        }
        std::unique_lock lock(m_closeMutex);
        const bool isClosed = m_closeChanged.wait_until(lock, deadline, [this] { return m_isClosed; });
        lock.unlock();
        if (isClosed) {
            m_closer.join();
        } else {
            m_closer.detach();
        }
        return isClosed;
    }

private:
    struct link
    {
        nng_socket socket{};
        endpoint peer;
        instant lastUsed;
        implementation *owner = nullptr;
        std::atomic<bool> isClosing{false};
    };

    static void pipeClosed(nng_pipe /*pipe*/, nng_pipe_ev /*event*/, void *argument)
    {
        const auto *out = static_cast<link *>(argument);
        const std::lock_guard lock(out->owner->m_callbackMutex);
        if (!out->isClosing && !out->owner->m_isStopping) {
            out->owner->m_callbacks.onClosed(out->peer);
        }
    }

    link *dial(const endpoint &peer)
    {
        auto out = std::make_unique<link>();
        out->peer = peer;
        out->owner = this;
        if (nng_push0_open(&out->socket) != 0) {
            return nullptr;
        }
        nng_socket_set_int(out->socket, NNG_OPT_SENDBUF, sendQueueMessages);
        nng_socket_set_ms(out->socket, NNG_OPT_RECONNMINT, minReconnectMs);
        nng_socket_set_ms(out->socket, NNG_OPT_RECONNMAXT, maxReconnectMs);
        nng_pipe_notify(out->socket, NNG_PIPE_EV_REM_POST, pipeClosed, out.get());
        if (nng_dial(out->socket, urlOf(peer).c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0) {
            nng_close(out->socket); // Without a connection there is nothing to wait for.
            return nullptr;
        }
        link *dialled = out.get();
        m_links.emplace(toString(peer), std::move(out));
        return dialled;
    }

    void receiveLoop()
    {
        while (!m_isStopping) {
            nng_msg *message = nullptr;
            if (nng_recvmsg(m_receiving, &message, 0) != 0) {
                continue;
            }
            std::string bytes(static_cast<const char *>(nng_msg_body(message)), nng_msg_len(message));
            std::string peer = peerOf(message);
            nng_msg_free(message);
            const std::lock_guard lock(m_callbackMutex);
            if (!m_isStopping) {
                m_callbacks.onMessage(std::move(bytes), std::move(peer));
            }
        }
    }

    void closeLoop()
    {
        std::unique_lock lock(m_closeMutex);
        while (!m_isStopping) {
            m_closeChanged.wait(lock, [this] { return !m_closing.empty() || m_isStopping; });
            closeAll(lock);
        }
        lock.unlock();
        if (m_receiver.joinable()) {
            m_receiver.join();
        }
        if (m_isListening) {
            nng_close(m_receiving);
        }
        std::unordered_map<std::string, std::unique_ptr<link>> links;
        {
            const std::lock_guard linksLock(m_mutex);
            links.swap(m_links);
        }
        lock.lock();
        for (auto &[name, out] : links) {
            out->isClosing = true;
            m_closing.push_back(std::move(out));
        }
        closeAll(lock);
        m_isClosed = true;
        lock.unlock();
        m_closeChanged.notify_all();
    }

    /// Closes the links in m_closing, each without the lock.
    void closeAll(std::unique_lock<std::mutex> &lock)
    {
        while (!m_closing.empty()) {
            const std::unique_ptr<link> out = std::move(m_closing.back());
            m_closing.pop_back();
            lock.unlock();
            nng_close(out->socket);
            lock.lock();
        }
    }

    transport_callbacks m_callbacks;
    std::timed_mutex m_callbackMutex; ///< Held during a callback.
    nng_socket m_receiving{};
    bool m_isListening = false;
    std::atomic<bool> m_isStopping{false};
    std::thread m_receiver;
    std::mutex m_mutex;
    std::unordered_map<std::string, std::unique_ptr<link>> m_links;
    std::thread m_closer;
    std::mutex m_closeMutex; ///< Guards the members below.
    std::condition_variable m_closeChanged;
    std::vector<std::unique_ptr<link>> m_closing;
    bool m_isClosed = false;
};

peer_transport::peer_transport(transport_callbacks callbacks)
    : m_implementation(std::make_shared<implementation>(std::move(callbacks)))
{
    m_implementation->startCloser();
}

peer_transport::~peer_transport()
{
    m_implementation->stop();
}

result<void> peer_transport::listen(const endpoint &address)
{
    return m_implementation->listen(address);
}

bool peer_transport::send(const endpoint &peer, std::string_view bytes)
{
    return m_implementation->send(peer, bytes);
}

void peer_transport::closeIdle(instant now)
{
    m_implementation->closeIdle(now);
}

bool peer_transport::stop()
{
    return m_implementation->stop();
}

} // namespace flamingofield
