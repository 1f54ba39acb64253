#include "gate/problem.hpp"

#include <nlohmann/json.hpp>

namespace flamingofield {

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
    answer.contentType = "application/problem+json";
    if (p.retryAfterMs > 0) {
        body["retryAfterMs"] = p.retryAfterMs;
        answer.headers.emplace("Retry-After", std::to_string((p.retryAfterMs + 999) / 1000));
    }
    answer.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return answer;
}

} // namespace flamingofield
