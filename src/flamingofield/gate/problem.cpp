#include "gate/problem.hpp"

#include <nlohmann/json.hpp>

namespace flamingofield {

namespace {

constexpr auto problemType = "application/problem+json";

} // namespace

const char *toString(work_outcome outcome)
{
    return outcome == work_outcome::notRun ? "not run" : "unknown";
}

http_answer toAnswer(const problem &p)
{
    nlohmann::json body{{"type", "about:blank"}, {"status", p.status}, {"outcome", toString(p.outcome)}, {"detail", p.detail}};
    if (!p.step.empty()) {
        body["step"] = p.step;
    }
    if (!p.peer.empty()) {
        body["peer"] = p.peer;
    }
    http_answer answer;
    answer.status = p.status;
    answer.contentType = problemType;
    if (p.retryAfterMs > 0) {
        body["retryAfterMs"] = p.retryAfterMs;
        answer.headers.emplace("Retry-After", std::to_string((p.retryAfterMs + 999) / 1000));
    }
    answer.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return answer;
}

bool promisesNotRun(const http_answer &answer)
{
    const auto body = answer.contentType == problemType ? nlohmann::json::parse(answer.body, nullptr, false) : nlohmann::json();
    return body.is_object() && body.value("outcome", nlohmann::json()) == toString(work_outcome::notRun);
}

} // namespace flamingofield
