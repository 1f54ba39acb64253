#include "fleet/peer_transport.hpp"

#include "fleet/peer_message.hpp"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <arpa/inet.h>

#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace flamingofield {

namespace {

constexpr int sendQueueMessages = 32;
constexpr nng_duration minReconnectMs = 200;
constexpr nng_duration maxReconnectMs = 1000;
constexpr nng_duration receiveTimeoutMs = 200;
constexpr seconds idleTimeout{20};

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

class peer_transport::implementation
{
public:
    explicit implementation(transport_callbacks callbacks)
        : m_callbacks(std::move(callbacks))
    {
    }

    ~implementation()
    {
        stop();
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
        m_thread = std::thread([this] { receiveLoop(); });
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    bool send(const endpoint &peer, std::string_view bytes)
    {
        const std::lock_guard lock(m_mutex);
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
        for (const auto &out : idle) {
            nng_close(out->socket);
        }
    }

    void stop()
    {
        if (m_isStopping.exchange(true)) {
            return;
        }
        if (m_thread.joinable()) {
            m_thread.join();
        }
        if (m_isListening) {
            nng_close(m_receiving);
        }
        std::unordered_map<std::string, std::unique_ptr<link>> links;
        {
            const std::lock_guard lock(m_mutex);
            links.swap(m_links);
        }
        for (const auto &[name, out] : links) {
            out->isClosing = true;
            nng_close(out->socket);
        }
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
            nng_close(out->socket);
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
            m_callbacks.onMessage(std::move(bytes), std::move(peer));
        }
    }

    transport_callbacks m_callbacks;
    nng_socket m_receiving{};
    bool m_isListening = false;
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
    std::mutex m_mutex;
    std::unordered_map<std::string, std::unique_ptr<link>> m_links;
};

peer_transport::peer_transport(transport_callbacks callbacks)
    : m_implementation(std::make_unique<implementation>(std::move(callbacks)))
{
}

peer_transport::~peer_transport() = default;

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

void peer_transport::stop()
{
    m_implementation->stop();
}

} // namespace flamingofield
