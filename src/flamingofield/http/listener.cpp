#include "http/listener.hpp"

#include "core/listen_backlog.hpp"
#include "http/internal/client_session.hpp"
#include "report/log.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <numeric>

namespace flamingofield {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Delay before the next accept after a failed one, as when file descriptors have run out.
constexpr milliseconds acceptRetryDelay{50};
/// Interval of log lines about connections closed at the limit.
constexpr milliseconds limitLogInterval{1000};

} // namespace

listener::listener(asio::io_context &loop, limits_source limits, handler onRequest)
    : m_state(std::make_shared<shared_state>(loop, std::move(limits), std::move(onRequest)))
{
}

listener::~listener()
{
    stopAccepting();
    while (!m_state->sessions.empty()) {
        const auto last = *m_state->sessions.begin();
        last->abandon();
    }
}

void listener::setBounds(listener_bounds bounds)
{
    m_state->bounds = std::move(bounds);
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
        s.acceptor.listen(listenBacklog, failure);
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
        if (failure && state->isStopped) {
            return;
        }
        if (failure) {
            logEvent(log_level::error, "accept_failed", {{"step", "accept"}, {"error", failure.message()}});
            if (failure == asio::error::no_descriptors) {
                state->closeOldest();
            }
            state->acceptTimer.expires_after(acceptRetryDelay);
            state->acceptTimer.async_wait([this, state](error_code) {
                if (!state->isStopped) {
                    accept();
                }
            });
            return;
        }
        startSession(state, std::move(socket));
        if (!state->isStopped) {
            accept();
        }
    });
}

bool listener::shared_state::closeOldest()
{
    bool isCurrent = false;
    while (true) {
        while (!closableSessions.empty()) {
            const auto [since, candidate] = closableSessions.back();
            closableSessions.pop_back();
            const auto session = candidate.lock();
            if (session != nullptr && session->closableSince() == since) {
                session->close();
                return true;
            }
        }
        if (isCurrent) {
            return false;
        }
        // Sorted once for many closings: what has become closable since then is younger than all that is left of the list.
        isCurrent = true;
        for (const auto &each : sessions) {
            if (const auto since = each->closableSince()) {
                closableSessions.emplace_back(*since, each);
            }
        }
        std::sort(closableSessions.begin(), closableSessions.end(), [](const auto &a, const auto &b) { return a.first > b.first; });
    }
}

void listener::startSession(const std::shared_ptr<shared_state> &state, tcp_socket socket)
{
    if (state->sessions.size() >= state->bounds.maxConnections) {
        ++state->connectionsClosedAtLimit;
        state->countRefusal("connections");
        if (!state->closeOldest()) {
            return; // Closes the new connection.
        }
    }
    const auto accepted = std::make_shared<client_session>(state, std::move(socket));
    state->sessions.insert(accepted);
    accepted->start();
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
    error_code failure; // The acceptor may be closed already.
    s.acceptor.non_blocking(true, failure);
    // Closing the acceptor would reset the connections that wait in its queue.
    while (!failure) {
        tcp_socket socket(s.loop);
        s.acceptor.accept(socket, failure);
        if (!failure) {
            startSession(m_state, std::move(socket));
        }
    }
    s.acceptor.close(failure);
    s.acceptTimer.cancel();
    const auto sessions = s.sessions;
    for (const auto &each : sessions) {
        each->closeIfIdle();
    }
}

void listener::tick(instant now)
{
    const auto sessions = m_state->sessions;
    for (const auto &each : sessions) {
        each->tick(now);
    }
    shared_state &s = *m_state;
    if (s.connectionsClosedAtLimit > 0 && now - s.limitLoggedAt >= limitLogInterval) {
        logEvent(log_level::warn, "connections_closed",
                 {{"reason", "limit"},
                  {"count", std::to_string(s.connectionsClosedAtLimit)},
                  {"limit", std::to_string(s.bounds.maxConnections)}});
        s.connectionsClosedAtLimit = 0;
        s.limitLoggedAt = now;
    }
}

std::size_t listener::unfinished() const
{
    return std::accumulate(m_state->sessions.begin(), m_state->sessions.end(), std::size_t(0),
                           [](std::size_t sum, const auto &each) { return sum + each->unfinished(); });
}

std::size_t listener::connections() const
{
    return m_state->sessions.size();
}

} // namespace flamingofield
