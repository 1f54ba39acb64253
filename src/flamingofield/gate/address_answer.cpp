#include "gate/address_answer.hpp"

#include "core/hash.hpp"
#include "gate/problem.hpp"
#include "once/idempotency_key.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace flamingofield {

namespace {

std::uint32_t epochNow(const member_view &member, instant now)
{
    return member.epoch + static_cast<std::uint32_t>(std::chrono::duration_cast<seconds>(now - member.epochAt).count());
}

nlohmann::json encode(const member_view &member, instant now)
{
    return {{"address", member.address.host},
            {"port", member.address.port},
            {"dataCentre", member.dataCentre},
            {"incarnation", toHex(member.incarnation)},
            {"keyPrefix", keyPrefix(member.incarnation, epochNow(member, now))}};
}

/// Spreads callers over the members while each caller keeps its order.
std::vector<member_view> orderFor(const http_request &request, const std::vector<member_view> &members)
{
    std::vector<member_view> ordered = members;
    const std::string near = request.parameter("dataCentre");
    const std::uint64_t seed = hashOf(request.remoteHost + request.parameter("caller"));
    const auto rank
        = [&](const member_view &m) { return std::make_pair(m.dataCentre != near && !near.empty(), hashOf(toString(m.address), seed)); };
    std::sort(ordered.begin(), ordered.end(), [&](const auto &a, const auto &b) { return rank(a) < rank(b); });
    return ordered;
}

} // namespace

http_answer answerAddresses(const http_request &request, const fleet_snapshot &snapshot, instant now)
{
    const std::string name = request.parameter("service");
    const int index = findService(*snapshot.text, name);
    if (index < 0) {
        return toAnswer({404, work_outcome::notRun, "no service is named '" + name.substr(0, 100) + "'", "addresses", "", 0});
    }
    nlohmann::json nodes = nlohmann::json::array();
    for (const auto &member : orderFor(request, snapshot.services[static_cast<std::size_t>(index)].members)) {
        nodes.push_back(encode(member, now));
    }
    http_answer answer;
    answer.headers.emplace("Cache-Control", "max-age=" + std::to_string(addressAnswerLifetime.count() / 1000));
    answer.body = nlohmann::json{
        {"service", name},
        {"version", snapshot.text->version},
        {"revision", snapshot.revision},
        {"keepForMs", addressAnswerLifetime.count()},
        {"nodes",
         nodes}}.dump();
    return answer;
}

} // namespace flamingofield
