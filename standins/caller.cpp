#include "caller.hpp"

#include "core/hash.hpp"

#include <nlohmann/json.hpp>

namespace standins {

using flamingofield::backend_answer;
using flamingofield::backend_not_sent;
using flamingofield::backend_request;
using flamingofield::milliseconds;
using nlohmann::json;

namespace {

constexpr milliseconds addressTimeout{1000};

std::string outcomeOf(const backend_answer &answer)
{
    if (answer.contentType != "application/problem+json") {
        return "done";
    }
    const json body = json::parse(answer.body, nullptr, false);
    return body.is_object() ? body.value("outcome", "unknown") : "unknown";
}

} // namespace

caller::caller(std::vector<flamingofield::endpoint> entries)
    : m_entries(std::move(entries))
    , m_client({})
    , m_callerId(flamingofield::randomIdentifier())
{
}

std::vector<entry_address> caller::fetchAddresses(const std::string &service)
{
    std::vector<flamingofield::endpoint> entries;
    std::size_t first = 0;
    {
        const std::lock_guard lock(m_mutex);
        entries = m_entries;
        first = m_sequence++;
    }
    for (std::size_t i = 0; i < entries.size(); ++i) {
        backend_request request;
        request.method = "GET";
        request.target = "/v1/addresses?service=" + service + "&caller=" + flamingofield::toHex(m_callerId);
        request.deadline = std::chrono::steady_clock::now() + addressTimeout;
        const auto outcome = m_client.send(entries[(first + i) % entries.size()], request);
        const auto *answer = std::get_if<backend_answer>(&outcome);
        const json body = answer != nullptr && answer->status == 200 ? json::parse(answer->body, nullptr, false) : json();
        if (!body.is_object()) {
            continue;
        }
        cached_addresses received;
        for (const auto &node : body["nodes"]) {
            received.nodes.push_back(
                {{node["address"].get<std::string>(), node["port"].get<std::uint16_t>()}, node["keyPrefix"].get<std::string>()});
        }
        received.expiresAt = std::chrono::steady_clock::now() + milliseconds(body["keepForMs"].get<int>());
        const std::lock_guard lock(m_mutex);
        m_cachedAddresses[service] = received;
        return received.nodes;
    }
    return {};
}

std::vector<entry_address> caller::addresses(const std::string &service)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_cachedAddresses.find(service);
        if (found != m_cachedAddresses.end() && std::chrono::steady_clock::now() < found->second.expiresAt) {
            return found->second.nodes;
        }
    }
    return fetchAddresses(service);
}

std::string caller::newKey(const entry_address &entry)
{
    const std::lock_guard lock(m_mutex);
    return entry.keyPrefix + "." + flamingofield::toHex(m_callerId) + "-" + std::to_string(m_sequence++);
}

caller_result caller::send(const std::string &service, const caller_request &request)
{
    caller_result result;
    const auto startedAt = std::chrono::steady_clock::now();
    if (request.entry) {
        result.entry = *request.entry;
    } else {
        const std::vector<entry_address> nodes = addresses(service);
        if (nodes.empty()) {
            result.outcome = "no answer";
            result.detail = "no addresses";
            return result;
        }
        result.entry = nodes.front().address;
    }
    backend_request sent;
    sent.method = request.method;
    sent.target = request.target;
    sent.body = request.body;
    sent.contentType = request.body.empty() ? "" : "application/json";
    if (!request.key.empty()) {
        sent.headers.emplace("Idempotency-Key", request.key);
    }
    if (!request.token.empty()) {
        sent.headers.emplace("X-Token", request.token);
    }
    if (!request.account.empty()) {
        sent.headers.emplace("Flamingo-Account", request.account);
    }
    sent.deadline = startedAt + request.timeout;
    const auto outcome = m_client.send(result.entry, sent);
    result.latency = std::chrono::steady_clock::now() - startedAt;
    if (const auto *answer = std::get_if<backend_answer>(&outcome)) {
        result.status = answer->status;
        result.outcome = outcomeOf(*answer);
        result.body = answer->body;
    } else if (const auto *notSent = std::get_if<backend_not_sent>(&outcome)) {
        result.outcome = "no answer";
        result.detail = notSent->reason;
    } else {
        result.outcome = "no answer";
        result.detail = std::get<flamingofield::backend_outcome_unknown>(outcome).reason;
    }
    return result;
}

} // namespace standins
