#include "report/fleet_query.hpp"

#include "gate/backend_client.hpp"

#include <nlohmann/json.hpp>

namespace flamingofield {

result<std::string> readStatus(const endpoint &admin, duration timeout)
{
    backend_client client({});
    backend_request request;
    request.method = "GET";
    request.target = "/v1/status";
    request.deadline = std::chrono::steady_clock::now() + timeout;
    backend_result outcome = client.send(admin, request);
    if (auto *answer = std::get_if<backend_answer>(&outcome)) {
        if (answer->status == 200) {
            return std::move(answer->body);
        }
        return error{"read status", toString(admin), "status " + std::to_string(answer->status)};
    }
    const auto *lost = std::get_if<backend_outcome_unknown>(&outcome);
    return error{"read status", toString(admin), lost != nullptr ? lost->reason : std::get<backend_not_sent>(outcome).reason};
}

result<std::vector<node_status_page>> readFleetStatus(const endpoint &admin, duration timeout)
{
    const auto first = readStatus(admin, timeout);
    if (!first) {
        return first.error();
    }
    std::vector<node_status_page> pages;
    const auto page = nlohmann::json::parse(first.value(), nullptr, false);
    for (const auto &node : page.is_object() && page.contains("nodes") ? page["nodes"] : nlohmann::json::array()) {
        const std::string name = node.value("admin", "");
        const auto address = parseEndpoint(name);
        const auto answer = address ? readStatus(address.value(), timeout) : result<std::string>(address.error());
        pages.push_back({name, answer ? answer.value() : "", answer ? "" : describe(answer.error())});
    }
    return pages;
}

} // namespace flamingofield
