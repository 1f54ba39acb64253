#include "http/internal/client_session.hpp"

#include "report/log.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace flamingofield {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// The kernel ends a client connection whose sent bytes stay unacknowledged for this long.
constexpr milliseconds clientUnacknowledgedTimeout{10000};
/// Bytes that are read and discarded behind the last request while it waits. Reading them detects a disconnect; the bound keeps a client
/// that sends without end from taking the node's time.
constexpr std::size_t maxDiscardedBytes = 65536;
/// Retry-After of a request that is refused for its memory: a crowd takes about this long to pass on or give up what it has sent.
constexpr std::string_view memoryRetryAfter = "1";
constexpr std::string_view interimAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

/// One request of a connection, from its arrival until its answer is written or the connection is closed.
class client_session::queued_request : public pending_request
{
public:
    /// @param session null if the request is not passed to a handler
    queued_request(std::shared_ptr<client_session> session, http_request_message request,
                   std::shared_ptr<memory_reservation> headMemory = nullptr)
        : m_session(std::move(session))
        , m_headMemory(std::move(headMemory))
        , m_request(std::move(request))
    {
    }

    void answer(const http_answer_message &answer) override
    {
        if (m_session == nullptr || m_isAnswered) {
            return;
        }
        m_isAnswered = true;
        m_onDisconnect = nullptr;
        m_request.body = {}; // An exchange that still runs has its own reference.
        m_session->handleAnswer(*this, answer);
    }

    void onClientDisconnect(std::function<void()> handler) override
    {
        m_onDisconnect = std::move(handler);
    }

    const http_request_message &request() const override
    {
        return m_request;
    }

    bool isAnswered() const
    {
        return m_isAnswered;
    }

    /// Keeps an answer until it is due.
    void hold(http_answer_message answer)
    {
        m_isAnswered = true;
        m_heldAnswer = std::move(answer);
    }

    std::optional<http_answer_message> takeHeldAnswer()
    {
        return std::exchange(m_heldAnswer, std::nullopt);
    }

    /// Later answers have no effect.
    void detach()
    {
        m_session.reset();
    }

    void reportDisconnect()
    {
        if (auto onDisconnect = std::exchange(m_onDisconnect, nullptr); onDisconnect && !m_isAnswered) {
            onDisconnect();
        }
    }

private:
    std::shared_ptr<client_session> m_session;
    std::shared_ptr<memory_reservation> m_headMemory;
    http_request_message m_request;
    std::optional<http_answer_message> m_heldAnswer;
    std::function<void()> m_onDisconnect;
    bool m_isAnswered = false;
};

client_session::client_session(std::shared_ptr<listener::shared_state> owner, tcp_socket socket)
    : m_owner(std::move(owner))
    , m_socket(std::move(socket))
    , m_reader(m_owner->bounds.memory)
{
    setSocketOptions(m_socket, clientUnacknowledgedTimeout);
}

void client_session::start()
{
    m_activeAt = std::chrono::steady_clock::now();
    m_reader.onEvict([session = weak_from_this()] {
        if (const auto self = session.lock()) {
            self->evict();
        }
    });
    startRead();
}

void client_session::closeIfIdle()
{
    if (!isIdle()) {
        return;
    }
    // The read may have ended with a request whose handler is still to run. If it has not, handleRead() closes the connection.
    m_closesIfIdle = true;
    error_code ignored; // Without a read to cancel, the connection is about to get its next request.
    m_socket.cancel(ignored);
}

bool client_session::isIdle() const
{
    return m_phase == phase::open && m_requests.empty() && m_writing == output::none && !m_reader.hasInput();
}

std::optional<instant> client_session::closableSince()
{
    if (m_phase == phase::lingering) {
        return m_activeAt;
    }
    if (m_phase == phase::closed || !m_requests.empty() || m_writing == output::answer) {
        return std::nullopt;
    }
    if (const auto start = m_reader.partStart()) {
        return start;
    }
    return hasPendingInput(m_socket.native_handle()) ? std::nullopt : std::optional<instant>(m_activeAt);
}

std::size_t client_session::unfinished() const
{
    const bool isEnding = m_phase == phase::lingering || (m_owner->isStopped && m_phase == phase::open && m_hasAnswered);
    return std::max(m_requests.size(), std::size_t(isEnding ? 1 : 0));
}

void client_session::tick(instant now)
{
    const client_connection_limits limits = m_owner->limits();
    noteProgress(now);
    const bool isSending = m_phase == phase::lingering || m_writing != output::none;
    if (isSending && now - m_activeAt > limits.closeTimeout) {
        close();
    }
    if (m_phase != phase::open) {
        return;
    }
    endReadingIfDraining();
    if (const auto refusal = m_reader.checkTimeLimits(limits, now)) {
        refuse(*refusal);
    } else if (isIdle() && (m_owner->isStopped || now - m_activeAt > limits.idleTimeout)) {
        closeIfIdle();
    }
}

void client_session::close()
{
    if (m_phase == phase::closed) {
        return;
    }
    const auto self = shared_from_this();
    m_phase = phase::closed;
    error_code ignored; // The connection is discarded in any case.
    m_socket.close(ignored);
    m_reader.clear();
    const auto requests = std::exchange(m_requests, {});
    for (const auto &each : requests) {
        each->detach();
    }
    // The last first: a slot that an earlier request leaves must not go to a later one of the same client.
    for (auto each = requests.rbegin(); each != requests.rend(); ++each) {
        (*each)->reportDisconnect();
    }
    m_owner->sessions.erase(self);
}

void client_session::abandon()
{
    for (const auto &each : m_requests) {
        each->onClientDisconnect(nullptr);
    }
    close();
}

bool client_session::mayRead() const
{
    switch (m_phase) {
    case phase::open:
        return m_isReadingEnded ? m_discardedBytes < maxDiscardedBytes : m_requests.size() < maxPendingRequests;
    case phase::lingering:
        return true;
    case phase::closed:
        break;
    }
    return false;
}

void client_session::startRead()
{
    if (m_isReading || !mayRead()) {
        return;
    }
    m_isReading = true;
    m_socket.async_read_some(m_reader.prepare(), [self = shared_from_this()](error_code failure, std::size_t count) {
        self->m_isReading = false;
        self->handleRead(failure, count);
    });
}

void client_session::handleRead(error_code failure, std::size_t count)
{
    if (m_phase == phase::closed) {
        return;
    }
    const bool wasCancelled = failure == asio::error::operation_aborted && m_closesIfIdle && isIdle();
    m_closesIfIdle = false;
    if (failure) {
        handleReadFailure(failure, wasCancelled);
        return;
    }
    m_reader.commit(count);
    if (m_phase == phase::open && !m_isReadingEnded) {
        readRequests();
        return;
    }
    m_discardedBytes += count;
    m_reader.clear();
    startRead();
}

void client_session::handleReadFailure(error_code failure, bool wasCancelled)
{
    if (wasCancelled) {
        if (hasPendingInput(m_socket.native_handle())) {
            startRead();
        } else {
            endIdle();
        }
        return;
    }
    const bool areAllAnswered = std::all_of(m_requests.begin(), m_requests.end(), [](const auto &each) { return each->isAnswered(); });
    if (m_phase == phase::open && failure == asio::error::eof && !m_requests.empty() && areAllAnswered) {
        endReading(); // The client may have closed its sending side alone, and the answers are ready.
    } else {
        close();
    }
}

void client_session::readRequests()
{
    if (m_isReading) {
        return; // All earlier bytes have been parsed.
    }
    const client_connection_limits limits = m_owner->limits();
    const instant now = std::chrono::steady_clock::now();
    bool isIncomplete = false;
    while (!isIncomplete && m_phase == phase::open && m_requests.size() < maxPendingRequests) {
        endReadingIfDraining();
        if (m_isReadingEnded) {
            break;
        }
        auto parsed = m_reader.parse(limits, now);
        if (auto *received = std::get_if<received_request>(&parsed)) {
            passOn(std::move(*received));
        } else if (const auto *refusal = std::get_if<request_refusal>(&parsed)) {
            refuse(*refusal);
        } else {
            isIncomplete = true;
        }
    }
    writeNext();
    startRead();
}

void client_session::passOn(received_request received)
{
    const auto request = std::make_shared<queued_request>(shared_from_this(), std::move(received.message), std::move(received.headMemory));
    m_requests.push_back(request);
    if (!received.isKeepAlive) {
        endReading();
    }
    m_owner->onRequest(request);
}

void client_session::refuse(const request_refusal &refusal)
{
    error_code disconnected; // Set if the client has disconnected, which leaves no address.
    const auto peer = m_socket.remote_endpoint(disconnected);
    const bool isMemoryRefusal = refusal.status == memoryRefusal.status;
    logEvent(log_level::warn, isMemoryRefusal ? "memory_refused" : "bad_request",
             {{"peer", disconnected ? "" : peer.address().to_string()},
              {"status", std::to_string(refusal.status)},
              {"reason", std::string(refusal.reason)}});
    m_requests.push_back(std::make_shared<queued_request>(nullptr, http_request_message()));
    http_answer_message answer = errorAnswer(refusal.status, refusal.reason);
    if (isMemoryRefusal) {
        answer.fields.add("Retry-After", memoryRetryAfter);
        m_owner->countRefusal("memory");
    }
    m_requests.back()->hold(std::move(answer));
    endReading();
    writeNext();
}

void client_session::evict()
{
    if (m_phase == phase::open && !m_isReadingEnded && m_reader.hasInput()) {
        refuse(memoryRefusal);
    }
}

void client_session::endReading()
{
    m_isReadingEnded = true;
    m_reader.clear();
}

void client_session::endReadingIfDraining()
{
    // The last answer leaves the connection open if its write began before draining; the next request then carries the last one.
    const bool isLastAnswerFixed = m_writing == output::answer && m_requests.size() == 1;
    if (m_owner->isDraining && !m_isReadingEnded && !m_requests.empty() && !isLastAnswerFixed) {
        endReading();
    }
}

void client_session::handleAnswer(queued_request &request, const http_answer_message &answer)
{
    if (answer.closesConnection && m_requests.back().get() == &request) {
        endReading();
    }
    if (m_writing == output::none && m_requests.front().get() == &request) {
        write(answer);
    } else {
        request.hold(answer);
    }
}

void client_session::writeNext()
{
    if (m_phase != phase::open || m_writing != output::none) {
        return;
    }
    if (!m_requests.empty()) {
        if (const auto answer = m_requests.front()->takeHeldAnswer()) {
            write(*answer);
        }
    } else if (m_reader.needsContinue()) {
        m_reader.setContinueSent(std::chrono::steady_clock::now());
        m_output = interimAnswer;
        startWrite(output::interim);
    }
}

void client_session::write(const http_answer_message &answer)
{
    endReadingIfDraining();
    m_closesAfterWrite = m_isReadingEnded && m_requests.size() == 1;
    const answer_framing framing{m_requests.front()->request().method == "HEAD", m_closesAfterWrite};
    m_output = serializeHead(answer, framing);
    m_outputBody = sentBody(answer, framing);
    startWrite(output::answer);
}

void client_session::startWrite(output kind)
{
    m_writing = kind;
    m_activeAt = std::chrono::steady_clock::now();
    const std::array<asio::const_buffer, 2> parts{asio::buffer(m_output), asio::buffer(m_outputBody.text())};
    const auto noteTaken = [self = shared_from_this()](error_code failure, std::size_t total) {
        // The kernel accepts more bytes once the client has taken some.
        if (total > 0) {
            self->m_activeAt = std::chrono::steady_clock::now();
            self->m_untakenBytes = unacknowledgedBytes(self->m_socket.native_handle());
        }
        return asio::transfer_all()(failure, total);
    };
    asio::async_write(m_socket, parts, noteTaken,
                      [self = shared_from_this()](error_code failure, std::size_t) { self->handleWritten(failure); });
}

void client_session::handleWritten(error_code failure)
{
    const output written = std::exchange(m_writing, output::none);
    m_output = std::string();
    m_outputBody = {};
    if (m_phase == phase::closed) {
        return;
    }
    if (failure) {
        close();
        return;
    }
    if (written == output::answer) {
        m_requests.front()->detach();
        m_requests.erase(m_requests.begin());
        m_hasAnswered = true;
        if (m_closesAfterWrite) {
            startLingering();
            return;
        }
    }
    writeNext();
    readRequests();
}

void client_session::noteProgress(instant now)
{
    if (m_phase == phase::closed || m_untakenBytes == 0) {
        return;
    }
    const std::size_t untaken = unacknowledgedBytes(m_socket.native_handle());
    if (untaken < m_untakenBytes) {
        m_activeAt = now;
    }
    m_untakenBytes = untaken;
}

void client_session::endIdle()
{
    if (m_hasAnswered && std::chrono::steady_clock::now() - m_activeAt <= m_owner->limits().closeTimeout) {
        startLingering();
    } else {
        close();
    }
}

void client_session::startLingering()
{
    m_phase = phase::lingering;
    error_code ignored; // The client may have closed the connection already.
    m_socket.shutdown(tcp_socket::shutdown_send, ignored);
    m_reader.clear();
    startRead();
}

} // namespace flamingofield
