#include "config/store_client.hpp"

#include "gate/backend_client.hpp"

#include <nlohmann/json.hpp>

namespace flamingofield {

namespace {

constexpr milliseconds answerTimeout{2000};
constexpr std::size_t maxAnswerBytes = 4U << 20U;

backend_limits storeLimits()
{
    backend_limits limits;
    limits.connectTimeout = milliseconds(1000);
    limits.maxAnswerBytes = maxAnswerBytes;
    return limits;
}

std::uint64_t revisionOf(const backend_answer &answer)
{
    const auto found = answer.headers.find("X-Revision");
    return found == answer.headers.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

} // namespace

class store_client::implementation
{
public:
    explicit implementation(endpoint platform)
        : m_platform(std::move(platform))
        , m_client(storeLimits())
    {
    }

    result<backend_answer> get(const std::string &target, milliseconds timeout)
    {
        backend_request request;
        request.method = "GET";
        request.target = target;
        request.deadline = std::chrono::steady_clock::now() + timeout;
        backend_result outcome = m_client.send(m_platform, request);
        if (auto *answer = std::get_if<backend_answer>(&outcome)) {
            if (answer->status == 200 || answer->status == 204) {
                return std::move(*answer);
            }
            return error{"read store", toString(m_platform), "expected status 200 or 204, got " + std::to_string(answer->status)};
        }
        const auto *unknown = std::get_if<backend_outcome_unknown>(&outcome);
        return error{"read store", toString(m_platform), unknown != nullptr ? unknown->reason : std::get<backend_not_sent>(outcome).reason};
    }

    const endpoint &platform() const
    {
        return m_platform;
    }

private:
    endpoint m_platform;
    backend_client m_client;
};

store_client::store_client(endpoint platform)
    : m_implementation(std::make_unique<implementation>(std::move(platform)))
{
}

store_client::~store_client() = default;

result<std::optional<stored_config>> store_client::read(std::uint64_t afterRevision, milliseconds wait)
{
    const std::string target = "/v1/config?after=" + std::to_string(afterRevision) + "&waitMs=" + std::to_string(wait.count());
    auto answer = m_implementation->get(target, wait + answerTimeout);
    if (!answer) {
        return answer.error();
    }
    if (answer.value().status == 204) {
        return std::optional<stored_config>();
    }
    return std::optional<stored_config>(stored_config{revisionOf(answer.value()), std::move(answer.value().body)});
}

result<std::vector<listed_vm>> store_client::readVms()
{
    auto answer = m_implementation->get("/v1/vms", answerTimeout);
    if (!answer) {
        return answer.error();
    }
    const auto body = nlohmann::json::parse(answer.value().body, nullptr, false);
    if (!body.is_object() || !body.contains("vms") || !body["vms"].is_array()) {
        return error{"read VM list", toString(m_implementation->platform()), "expected a JSON object with an array named vms"};
    }
    std::vector<listed_vm> vms;
    for (const auto &row : body["vms"]) {
        const auto address = parseEndpoint(row.is_object() ? row.value("address", "") : "");
        if (address) {
            vms.push_back({address.value(), row.value("state", "") == "leaving"});
        }
    }
    return vms;
}

} // namespace flamingofield
