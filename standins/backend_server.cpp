#include "backend_server.hpp"

#include <nlohmann/json.hpp>

namespace standins {

using flamingofield::duration;
using flamingofield::http_answer;
using flamingofield::http_request;
using flamingofield::instant;
using flamingofield::milliseconds;
using nlohmann::json;

namespace {

constexpr milliseconds healthCheckTime{25};
constexpr milliseconds defaultMaxWait{10000};

flamingofield::connection_limits limits()
{
    flamingofield::connection_limits l;
    l.threads = 128;
    return l;
}

http_answer notRunAnswer(const char *reason, bool isDraining)
{
    http_answer answer;
    answer.status = 503;
    answer.body = json{{"error", reason}}.dump();
    answer.headers.emplace("Request-Not-Run", "true");
    if (isDraining) {
        answer.headers.emplace("Server-Draining", "true");
    }
    return answer;
}

} // namespace

backend_server::backend_server(int slots, std::uint64_t seed)
    : m_slots(slots)
    , m_random(seed)
    , m_server(limits(), [this](const http_request &request) { return handle(request); })
{
}

backend_server::~backend_server()
{
    stop();
}

flamingofield::result<std::uint16_t> backend_server::start(const flamingofield::endpoint &address)
{
    return m_server.start(address);
}

void backend_server::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_server.stop();
}

void backend_server::setBehaviour(const backend_behaviour &behaviour)
{
    const std::lock_guard lock(m_mutex);
    m_behaviour = behaviour;
}

backend_behaviour backend_server::behaviour() const
{
    const std::lock_guard lock(m_mutex);
    return m_behaviour;
}

std::map<std::string, int> backend_server::runCounts() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

std::uint64_t backend_server::startedRequests() const
{
    const std::lock_guard lock(m_mutex);
    return m_startedRequests;
}

std::uint64_t backend_server::receivedRequests() const
{
    const std::lock_guard lock(m_mutex);
    return m_receivedRequests;
}

http_answer backend_server::handle(const http_request &request)
{
    if (request.path == "/healthz") {
        return health();
    }
    return request.path == "/control" ? control(request) : work(request);
}

http_answer backend_server::health()
{
    const backend_behaviour b = behaviour();
    pause(b.isHealthAnswered ? healthCheckTime : b.hangTime);
    const std::lock_guard lock(m_mutex);
    http_answer answer;
    const double load = b.loadFactor * m_inUse / m_slots;
    answer.body = json{{"state", b.isDraining ? "draining" : "ok"}, {"load", load}}.dump();
    return answer;
}

http_answer backend_server::control(const http_request &request)
{
    const json body = json::parse(request.body, nullptr, false);
    http_answer answer;
    if (!body.is_object()) {
        answer.status = 400;
        answer.body = R"({"error":"expected a JSON object"})";
        return answer;
    }
    backend_behaviour b = behaviour();
    b.serviceTime = milliseconds(body.value("serviceTimeMs", b.serviceTime.count()));
    b.failShare = body.value("failShare", b.failShare);
    b.hangShare = body.value("hangShare", b.hangShare);
    b.slowShare = body.value("slowShare", b.slowShare);
    b.slowTime = milliseconds(body.value("slowTimeMs", b.slowTime.count()));
    b.isDraining = body.value("draining", b.isDraining);
    b.shedsAll = body.value("shedsAll", b.shedsAll);
    setBehaviour(b);
    answer.body = json{{"started", startedRequests()}}.dump();
    return answer;
}

bool backend_server::drawWithProbability(double probability)
{
    const std::lock_guard lock(m_mutex);
    return probability > 0.0 && std::uniform_real_distribution<>(0.0, 1.0)(m_random) < probability;
}

bool backend_server::takeSlot(instant deadline)
{
    std::unique_lock lock(m_mutex);
    if (!m_changed.wait_until(lock, deadline, [this] { return m_inUse < m_slots || m_isStopping; }) || m_isStopping) {
        return false;
    }
    ++m_inUse;
    return true;
}

void backend_server::releaseSlot()
{
    const std::lock_guard lock(m_mutex);
    --m_inUse;
    m_changed.notify_one();
}

void backend_server::pause(duration length)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, length, [this] { return m_isStopping; });
}

http_answer backend_server::work(const http_request &request)
{
    const backend_behaviour b = behaviour();
    {
        const std::lock_guard lock(m_mutex);
        ++m_receivedRequests;
    }
    if (b.isDraining || b.shedsAll) {
        return notRunAnswer(b.isDraining ? "draining" : "overloaded", b.isDraining);
    }
    const std::string deadlineField = request.header("Flamingo-Deadline-Ms");
    const milliseconds maxWait = deadlineField.empty() ? defaultMaxWait : milliseconds(std::strtol(deadlineField.c_str(), nullptr, 10));
    if (!takeSlot(std::chrono::steady_clock::now() + maxWait)) {
        return notRunAnswer("no slot before the deadline", false);
    }
    const std::string key = request.header("Idempotency-Key");
    {
        const std::lock_guard lock(m_mutex);
        ++m_startedRequests;
        if (!key.empty()) {
            ++m_runs[key];
        }
    }
    const bool hangs = drawWithProbability(b.hangShare);
    const bool isSlow = drawWithProbability(b.slowShare);
    pause(hangs ? b.hangTime : isSlow ? b.slowTime : b.serviceTime);
    releaseSlot();
    http_answer answer;
    answer.status = drawWithProbability(b.failShare) ? 500 : 200;
    answer.body = json{{"path", request.path}, {"token", request.header("X-Token")}, {"body", request.body}}.dump(
        -1, ' ', false, json::error_handler_t::replace);
    return answer;
}

} // namespace standins
