#include "platform_standin.hpp"

#include <nlohmann/json.hpp>

#include <thread>

namespace standins {

using flamingofield::http_answer;
using flamingofield::http_request;
using flamingofield::milliseconds;

namespace {

flamingofield::connection_limits limits()
{
    flamingofield::connection_limits l;
    l.threads = 400; // Each waiting long poll occupies one.
    l.queue = 4096;
    l.bodyBytes = 2U << 20U;
    return l;
}

std::uint64_t parseNumber(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace

platform_standin::platform_standin()
    : m_server(limits(), [this](const http_request &request) { return handle(request); })
{
}

platform_standin::~platform_standin()
{
    stop();
}

flamingofield::result<std::uint16_t> platform_standin::start(const flamingofield::endpoint &address)
{
    return m_server.start(address);
}

void platform_standin::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_published.notify_all();
    m_server.stop();
}

std::uint64_t platform_standin::publish(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    const std::uint64_t revision = m_configs.empty() ? 1 : m_configs.rbegin()->first + 1;
    m_configs.emplace(revision, text);
    m_published.notify_all();
    return revision;
}

void platform_standin::setVms(std::vector<flamingofield::listed_vm> vms)
{
    const std::lock_guard lock(m_mutex);
    m_vms = std::move(vms);
}

void platform_standin::setBehaviour(const platform_behaviour &behaviour)
{
    const std::lock_guard lock(m_mutex);
    m_behaviour = behaviour;
    m_published.notify_all();
}

std::uint64_t platform_standin::reads() const
{
    const std::lock_guard lock(m_mutex);
    return m_reads;
}

std::uint64_t platform_standin::refusals() const
{
    const std::lock_guard lock(m_mutex);
    return m_refusals;
}

std::uint64_t platform_standin::peakReadsPerSecond() const
{
    const std::lock_guard lock(m_mutex);
    return m_peakReadsPerSecond;
}

void platform_standin::resetPeak()
{
    const std::lock_guard lock(m_mutex);
    m_recentReads.clear();
    m_peakReadsPerSecond = 0;
}

bool platform_standin::admitRead()
{
    const std::lock_guard lock(m_mutex);
    const auto now = std::chrono::steady_clock::now();
    while (!m_recentReads.empty() && now - m_recentReads.front() > flamingofield::seconds(1)) {
        m_recentReads.pop_front();
    }
    ++m_reads;
    m_recentReads.push_back(now);
    m_peakReadsPerSecond = std::max<std::uint64_t>(m_peakReadsPerSecond, m_recentReads.size());
    const bool isAllowed = static_cast<double>(m_recentReads.size()) <= m_behaviour.maxReadsPerSecond && !m_behaviour.isUnavailable;
    m_refusals += isAllowed ? 0 : 1;
    return isAllowed;
}

std::uint64_t platform_standin::visibleRevision() const
{
    const std::uint64_t newest = m_configs.empty() ? 0 : m_configs.rbegin()->first;
    return m_behaviour.staleRevision > 0 ? std::min(newest, m_behaviour.staleRevision) : newest;
}

http_answer platform_standin::handle(const http_request &request)
{
    if (request.path == "/control/config" && request.method == "PUT") {
        http_answer answer;
        answer.body = "{\"revision\":" + std::to_string(publish(request.body)) + "}";
        return answer;
    }
    if (!admitRead()) {
        http_answer answer;
        answer.status = 429;
        return answer;
    }
    return request.path == "/v1/vms" ? vms() : config(request);
}

http_answer platform_standin::config(const http_request &request)
{
    const std::uint64_t after = parseNumber(request.parameter("after"));
    const milliseconds wait(parseNumber(request.parameter("waitMs")));
    std::unique_lock lock(m_mutex);
    if (m_behaviour.delay.count() > 0) {
        const milliseconds delay = m_behaviour.delay;
        lock.unlock();
        std::this_thread::sleep_for(delay);
        lock.lock();
    }
    m_published.wait_for(lock, wait, [&] { return visibleRevision() > after || m_isStopping || m_behaviour.isUnavailable; });
    http_answer answer;
    answer.contentType = "application/toml";
    const std::uint64_t revision = visibleRevision();
    if (m_behaviour.isUnavailable) {
        answer.status = 503;
    } else if (revision == 0 || revision == after || (revision < after && wait.count() > 0)) {
        answer.status = 204;
    } else {
        answer.headers.emplace("X-Revision", std::to_string(revision));
        answer.body = m_configs.at(revision);
    }
    return answer;
}

http_answer platform_standin::vms() const
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json rows = nlohmann::json::array();
    for (const auto &vm : m_vms) {
        rows.push_back({{"address", toString(vm.address)}, {"state", vm.isLeaving ? "leaving" : "live"}});
    }
    http_answer answer;
    answer.body = nlohmann::json{{"vms", rows}}.dump();
    return answer;
}

} // namespace standins
