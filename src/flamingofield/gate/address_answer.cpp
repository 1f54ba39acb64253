#include "gate/address_answer.hpp"

#include "core/hash.hpp"
#include "gate/problem.hpp"
#include "idempotency/idempotency_key.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace flamingofield {

namespace {

std::uint32_t currentEpoch(const node_view &member, instant now)
{
    return member.epoch + static_cast<std::uint32_t>(std::chrono::duration_cast<seconds>(now - member.epochAt).count());
}

nlohmann::json encode(const node_view &member, instant now)
{
    return {{"address", member.address.host},
            {"port", member.address.port},
            {"dataCentre", member.dataCentre},
            {"incarnation", toHex(member.incarnation)},
            {"keyPrefix", keyPrefix(member.incarnation, currentEpoch(member, now))}};
}

/// Orders members by the caller's data centre, then by a hash of caller and member. Callers are thus spread over the
/// members, and a caller gets the same order each time.
std::vector<node_view> orderMembers(const http_request &request, const std::vector<node_view> &members)
{
    std::vector<node_view> ordered = members;
    const std::string preferredDataCentre = request.parameter("dataCentre");
    const std::uint64_t seed = hashOf(request.remoteHost + request.parameter("caller"));
    const auto sortKey = [&](const node_view &m) {
        return std::make_pair(m.dataCentre != preferredDataCentre && !preferredDataCentre.empty(), hashOf(toString(m.address), seed));
    };
    std::sort(ordered.begin(), ordered.end(), [&](const auto &a, const auto &b) { return sortKey(a) < sortKey(b); });
    return ordered;
}

} // namespace

http_answer answerAddresses(const http_request &request, const fleet_snapshot &snapshot, instant now)
{
    const std::string name = request.parameter("service");
    const int index = findService(*snapshot.config, name);
    if (index < 0) {
        return toAnswer({404, work_outcome::notRun, "no service is named '" + name.substr(0, 100) + "'", "addresses", "", 0});
    }
    nlohmann::json nodes = nlohmann::json::array();
    for (const auto &member : orderMembers(request, snapshot.services[static_cast<std::size_t>(index)].members)) {
        nodes.push_back(encode(member, now));
    }
    http_answer answer;
    answer.headers.emplace("Cache-Control", "max-age=" + std::to_string(addressAnswerLifetime.count() / 1000));
    answer.body = nlohmann::json{
        {"service", name},
        {"version", snapshot.config->version},
        {"revision", snapshot.revision},
        {"keepForMs", addressAnswerLifetime.count()},
        {"nodes",
         nodes}}.dump();
    return answer;
}

} // namespace flamingofield
