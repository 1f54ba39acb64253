#include "gate/request_handler.hpp"

#include "core/hash.hpp"
#include "core/overloaded.hpp"
#include "gate/address_answer.hpp"
#include "http/message.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace flamingofield {

namespace {

constexpr int maxHops = 2; // One to the key's node or to a member, and one more through a relay.
constexpr int retryAfterMs = 200;
constexpr int maxAttempts = 3;
/// With this field, a backend server states that it did not run the request.
constexpr auto notRunField = "Request-Not-Run";
/// Bounds memory. A longer body is not recorded; a repeated request then gets the status and content type with an empty body.
constexpr std::size_t maxRecordedBodyBytes = 64U << 10U;

std::optional<int> parseNumber(const std::string &text)
{
    int value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isNumber = failure == std::errc() && end == text.data() + text.size();
    return isNumber && value >= 0 ? std::optional<int>(value) : std::nullopt;
}

/// True for hop-by-hop headers, those that this node sets itself and those that cpp-httplib adds.
bool isNotForwarded(const std::string &name)
{
    constexpr std::array<const char *, 12> names{
        "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length",   "Content-Type",         "Host",
        "Upgrade",    "TE",         "Trailer",           "Proxy-Connection", "Flamingo-Deadline-Ms", "Flamingo-Hops"};
    const bool isAddedByHttplib = name == "REMOTE_ADDR" || name == "REMOTE_PORT" || name == "LOCAL_ADDR" || name == "LOCAL_PORT";
    return isAddedByHttplib || std::any_of(names.begin(), names.end(), [&](const char *n) { return strcasecmp(n, name.c_str()) == 0; });
}

std::multimap<std::string, std::string> endToEndHeaders(const std::multimap<std::string, std::string> &headers)
{
    std::multimap<std::string, std::string> kept;
    for (const auto &[name, value] : headers) {
        if (!isNotForwarded(name)) {
            kept.emplace(name, value);
        }
    }
    return kept;
}

bool hasHeader(const backend_answer &answer, const char *name)
{
    return std::any_of(answer.headers.begin(), answer.headers.end(), [&](const auto &h) { return strcasecmp(h.first.c_str(), name) == 0; });
}

/// True if a backend server states that it did not run the request: by its own field, or by 421 Misdirected Request (RFC 9110).
bool statesNotRun(const backend_answer &answer)
{
    return answer.status == 421 || hasHeader(answer, notRunField);
}

/// True if the backend server shed the request: it answered 503 with Request-Not-Run and did not start it.
bool isShed(const backend_answer &answer)
{
    return answer.status == 503 && statesNotRun(answer);
}

http_answer toClientAnswer(const backend_answer &answer)
{
    http_answer passed;
    passed.status = answer.status;
    passed.contentType = answer.contentType.empty() ? "application/octet-stream" : answer.contentType;
    passed.body = answer.body;
    passed.headers = endToEndHeaders(answer.headers);
    return passed;
}

backend_request toBackendRequest(const http_request &request)
{
    backend_request passed;
    passed.method = request.method;
    passed.target = request.target;
    passed.body = request.body;
    passed.contentType = request.contentType;
    passed.headers = endToEndHeaders(request.headers);
    return passed;
}

/// True if a caller would take the answer for the promise that its work did not run, which the backend server did not make.
bool impliesNotRun(const backend_answer &answer)
{
    return !statesNotRun(answer) && (promisesNotRun(answer.status) || promisesNotRun(toClientAnswer(answer)));
}

std::string describeUnstated(const backend_answer &answer)
{
    return std::string("expected ") + notRunField + " with status " + std::to_string(answer.status) + ", got none: the work may have run";
}

/// Answer of another node as it is passed on for work that must not repeat. A status that promises "not run" needs the same promise in the
/// body, or the field of a backend server that the other node passed on.
http_answer toCheckedAnswer(const backend_answer &answer, const std::string &peer)
{
    http_answer passed = toClientAnswer(answer);
    if (!promisesNotRun(answer.status) || statesNotRun(answer) || promisesNotRun(passed)) {
        return passed;
    }
    http_answer checked = toAnswer({502, work_outcome::unknown, describeUnstated(answer), "forward", peer, 0});
    if (const auto node = passed.headers.find("Flamingo-Node"); node != passed.headers.end()) {
        checked.headers.insert(*node);
    }
    return checked;
}

http_answer fromRecord(const recorded_answer &record)
{
    http_answer answer;
    answer.status = record.status;
    answer.contentType = record.contentType;
    answer.body = record.body;
    answer.headers.emplace("Flamingo-Recorded", "true");
    if (record.statesNotRun) {
        answer.headers.emplace(notRunField, "true");
    }
    return answer;
}

} // namespace

/// A request with its route, service, deadline and remaining hops.
struct request_handler::routed_request
{
    const http_request &request;
    const fleet_snapshot &snapshot;
    const route_spec &route;
    const service_spec &service;
    const service_view &view;
    int rank = 0; ///< Index in the configuration's ranks, 0 is the most urgent; balance/ calls this priority.
    instant arrived;
    instant deadline;
    std::uint64_t caller = 0; ///< Hash of the client account, or of the remote address without one.
    int hopsLeft = maxHops;
    bool isRetry = false; ///< The sender marked it as a retry, so it is not retried here.
};

/// Result of one attempt at a target.
struct request_handler::attempt_result
{
    backend_result result;
    bool isShed = false;
    bool isSuccess = false;
    bool mayHaveRun = false; ///< Also if an earlier send of the same attempt may have run and this one has not.
};

request_handler::request_handler(request_context context)
    : m_context(context)
{
}

http_answer request_handler::handle(const http_request &request)
{
    ++m_inFlight;
    const auto snapshot = m_context.snapshots.get();
    http_answer answer = snapshot == nullptr || snapshot->config == nullptr
        ? refuse(request, {503, work_outcome::notRun, "the node has no configuration yet", "start", "", retryAfterMs})
        : route(request, *snapshot);
    if (answer.headers.count("Flamingo-Node") == 0) {
        answer.headers.emplace("Flamingo-Node", toHex(m_context.incarnation));
    }
    --m_inFlight;
    return answer;
}

http_answer request_handler::route(const http_request &request, const fleet_snapshot &snapshot)
{
    const instant now = std::chrono::steady_clock::now();
    if (request.path == "/v1/addresses") {
        return answerAddresses(request, snapshot, now);
    }
    const int index = snapshot.routes->match(request.method, request.path);
    if (index < 0) {
        return refuse(request,
                      {404, work_outcome::notRun, "no route for " + request.method + " " + request.path.substr(0, 200), "route", "", 0});
    }
    const route_spec &matched = snapshot.config->routes[static_cast<std::size_t>(index)];
    const auto service = static_cast<std::size_t>(findService(*snapshot.config, matched.service));
    const int rank = findRank(*snapshot.config, matched.rank);
    milliseconds timeout = snapshot.config->ranks[static_cast<std::size_t>(rank)].deadline;
    const std::string requestedDeadline = request.header("Flamingo-Deadline-Ms");
    if (!requestedDeadline.empty()) {
        const auto parsed = parseNumber(requestedDeadline);
        if (!parsed) {
            return toAnswer(
                {400, work_outcome::notRun, "Flamingo-Deadline-Ms is not a whole number", "read deadline", request.remoteHost, 0});
        }
        timeout = std::min(timeout, milliseconds(*parsed));
    }
    const std::string account = request.header("Flamingo-Account");
    const routed_request routed{request,
                                snapshot,
                                matched,
                                snapshot.config->services[service],
                                snapshot.services[service],
                                rank,
                                now,
                                now + timeout,
                                hashOf(account.empty() ? request.remoteHost : account),
                                std::min(parseNumber(request.header("Flamingo-Hops")).value_or(maxHops), maxHops),
                                !request.header("Flamingo-Attempt").empty()};
    return serve(routed);
}

/// Refuses a request that cannot be routed. An earlier copy may have run here or on another node, so the outcome is
/// "not run" only if this node can mark the idempotency key as not executed, which keeps later copies from running.
http_answer request_handler::refuse(const http_request &request, problem p)
{
    const auto key = parseIdempotencyKey(request.header("Idempotency-Key"));
    if (!key) {
        return toAnswer(p);
    }
    const claim_result claimed = m_context.outcomes.claim(key.value(), std::chrono::steady_clock::now());
    if (std::holds_alternative<execution_granted>(claimed)) {
        m_context.outcomes.markNotExecuted(key.value(), p.detail);
    } else if (!std::holds_alternative<execution_refused>(claimed)) {
        p.outcome = work_outcome::unknown;
        p.status = promisesNotRun(p.status) ? 504 : p.status;
    }
    return toAnswer(p);
}

http_answer request_handler::serve(const routed_request &routed)
{
    http_answer answer = routed.route.idempotent ? serveIdempotent(routed) : serveAtMostOnce(routed);
    const instant now = std::chrono::steady_clock::now();
    request_end end = request_end::served;
    if (answer.contentType == "application/problem+json") {
        end = answer.body.find("\"outcome\":\"unknown\"") != std::string::npos ? request_end::unknown : request_end::refused;
    } else if (answer.status >= 500) {
        end = request_end::failed;
    } else if (now > routed.deadline) {
        end = request_end::late;
    }
    m_context.metrics.record(routed.service.name, routed.route.rank, end, now - routed.arrived, now);
    return answer;
}

slot_result request_handler::acquire(const routed_request &routed, std::uint64_t excludedTargets)
{
    slot_request request;
    request.rank = routed.rank;
    request.caller = routed.caller;
    request.deadline = routed.deadline;
    const bool isLeastUrgent = routed.rank + 1 == static_cast<int>(routed.snapshot.config->ranks.size());
    request.criteria = {routed.route.idempotent && isLeastUrgent, excludedTargets, ++m_sequence, {}};
    return routed.view.admission->acquire(request);
}

http_answer request_handler::serveAtMostOnce(const routed_request &routed)
{
    const std::string text = routed.request.header("Idempotency-Key");
    const auto key = parseIdempotencyKey(text);
    if (!key) {
        const std::string hint = text.empty() ? "this route needs an Idempotency-Key; see /v1/addresses" : key.error().reason;
        return toAnswer({400, work_outcome::notRun, hint, "parse key", routed.request.remoteHost, 0});
    }
    if (key.value().incarnation != m_context.incarnation) {
        return forwardToIncarnation(routed, key.value().incarnation);
    }
    const claim_result claimed = m_context.outcomes.claim(key.value(), routed.deadline);
    return std::visit(overloaded{
                          [&](const execution_granted &) { return runAtMostOnce(routed, key.value()); },
                          [&](const execution_in_progress &) {
                              return toAnswer({504, work_outcome::unknown, "the work is still running", "await outcome", "", retryAfterMs});
                          },
                          [&](const execution_recorded &r) { return fromRecord(*r.answer); },
                          [&](const execution_refused &r) {
                              return toAnswer({503, work_outcome::notRun, r.reason, "begin", "", retryAfterMs});
                          },
                          [&](const execution_unknown &r) {
                              return toAnswer({504, work_outcome::unknown, r.reason, "begin", "", 0});
                          },
                      },
                      claimed);
}

http_answer request_handler::runAtMostOnce(const routed_request &routed, const idempotency_key &key)
{
    std::uint64_t excludedTargets = 0;
    std::string reason = "no backend server could be reached";
    for (int i = 0; i < maxAttempts; ++i) {
        const slot_result slot = acquire(routed, excludedTargets);
        if (const auto *refusal = std::get_if<slot_refusal>(&slot)) {
            reason = i == 0 ? describe(refusal->reason) : reason;
            break;
        }
        const std::size_t target = std::get<slot_grant>(slot).target;
        const attempt_result result = attempt(routed, target, routed.deadline, true);
        if (const auto *answer = std::get_if<backend_answer>(&result.result); answer != nullptr && !result.isShed) {
            if (impliesNotRun(*answer)) {
                m_context.outcomes.markUnknown(key, describeUnstated(*answer));
                return toAnswer(
                    {502, work_outcome::unknown, describeUnstated(*answer), "await answer", toString(routed.view.targets[target]), 0});
            }
            const bool isSmall = answer->body.size() <= maxRecordedBodyBytes;
            m_context.outcomes.recordAnswer(
                key, {answer->status, answer->contentType, isSmall ? answer->body : std::string(), statesNotRun(*answer)});
            return toClientAnswer(*answer);
        }
        if (const auto *unknown = std::get_if<backend_outcome_unknown>(&result.result)) {
            m_context.outcomes.markUnknown(key, unknown->reason);
            return toAnswer({504, work_outcome::unknown, unknown->reason, "await answer", toString(routed.view.targets[target]), 0});
        }
        // A failed connect or a shed request has certainly not run, so another target may be tried.
        excludedTargets |= target < 64 ? std::uint64_t{1} << target : 0;
        reason = result.isShed ? "the backend servers refused the work for load" : std::get<backend_not_sent>(result.result).reason;
    }
    m_context.outcomes.markNotExecuted(key, reason);
    return toAnswer({503, work_outcome::notRun, reason, "acquire slot", routed.service.name, retryAfterMs});
}

http_answer request_handler::serveIdempotent(const routed_request &routed)
{
    if (!routed.view.isMember && routed.hopsLeft > 0) {
        return forwardToMember(routed);
    }
    routed.view.admission->depositRetry();
    std::uint64_t excludedTargets = 0;
    problem last{503, work_outcome::notRun, "no backend server could be reached", "acquire slot", routed.service.name, retryAfterMs};
    bool mayHaveRun = false;
    for (int i = 0; i < maxAttempts; ++i) {
        if (i > 0 && (routed.isRetry || !routed.view.admission->withdrawRetry())) {
            break;
        }
        const slot_result slot = acquire(routed, excludedTargets);
        if (const auto *refusal = std::get_if<slot_refusal>(&slot)) {
            last.detail = i == 0 ? describe(refusal->reason) : last.detail;
            break;
        }
        m_context.counters.add(counter::retriesSent, i > 0 ? 1 : 0);
        const std::size_t target = std::get<slot_grant>(slot).target;
        const bool isLastTry = i + 1 == maxAttempts || routed.isRetry;
        const instant attemptDeadline
            = isLastTry ? routed.deadline : std::min(routed.deadline, std::chrono::steady_clock::now() + routed.view.attemptTimeout);
        const attempt_result result = attempt(routed, target, attemptDeadline, false);
        if (result.isSuccess) {
            return toClientAnswer(std::get<backend_answer>(result.result));
        }
        excludedTargets |= target < 64 ? std::uint64_t{1} << target : 0;
        mayHaveRun = mayHaveRun || result.mayHaveRun;
        const auto *answer = std::get_if<backend_answer>(&result.result);
        last.peer = toString(routed.view.targets[target]);
        last.step = "await answer";
        last.detail = answer != nullptr ? "status " + std::to_string(answer->status) : "no whole answer";
        const bool hasAnswered = answer != nullptr && !result.isShed;
        last.status = hasAnswered ? 502 : mayHaveRun ? 504 : 503;
    }
    last.outcome = mayHaveRun ? work_outcome::unknown : work_outcome::notRun;
    return toAnswer(last);
}

request_handler::attempt_result request_handler::attempt(const routed_request &routed, std::size_t target, instant deadline,
                                                         bool useNewConnection)
{
    const instant begun = std::chrono::steady_clock::now();
    const std::uint64_t number = m_context.inflight.begin(routed.view.number, target, routed.caller, begun);
    backend_request request = toBackendRequest(routed.request);
    request.headers.emplace("Flamingo-Deadline-Ms", std::to_string(std::max(0LL, toMilliseconds(routed.deadline - begun))));
    request.deadline = deadline;
    request.requiresNewConnection = useNewConnection;
    attempt_result done{m_context.targets.send(routed.view.targets[target], request)};
    const duration latency = std::chrono::steady_clock::now() - begun;
    const bool wasReportedSlow = m_context.inflight.end(number);
    if (const auto *answer = std::get_if<backend_answer>(&done.result)) {
        done.isShed = isShed(*answer);
        done.isSuccess = answer->status < 500;
    }
    done.mayHaveRun = !std::holds_alternative<backend_not_sent>(done.result) && !done.isShed;
    const auto *unknown = std::get_if<backend_outcome_unknown>(&done.result);
    routed.view.admission->release(target, routed.rank, done.isSuccess, done.isShed);
    if (unknown != nullptr && unknown->wasConnectionReused && routed.route.idempotent
        && std::chrono::steady_clock::now() < routed.deadline) {
        return attemptOnNewConnection(routed, target, deadline + routed.view.attemptTimeout);
    }
    observe(routed, target, done, wasReportedSlow, latency);
    return done;
}

request_handler::attempt_result request_handler::attemptOnNewConnection(const routed_request &routed, std::size_t target, instant deadline)
{
    // A reused connection can stop responding although the target is healthy; a new connection shows which of the two failed.
    routed.view.admission->addSlotInUse(target, routed.rank);
    attempt_result second = attempt(routed, target, std::min(deadline, routed.deadline), true);
    if (second.isSuccess) {
        m_context.counters.add(counter::silentConnections);
        m_context.targets.closeIdleConnections(routed.view.targets[target]);
    }
    second.mayHaveRun = true;
    return second;
}

void request_handler::observe(const routed_request &routed, std::size_t target, const attempt_result &result, bool wasReportedSlow,
                              duration latency)
{
    observation seen;
    seen.service = routed.view.number;
    seen.target = target;
    seen.latency = latency;
    seen.at = std::chrono::steady_clock::now();
    seen.source = routed.caller;
    seen.kind = std::visit(
        overloaded{
            [&](const backend_answer &answer) {
                seen.isLeaving = hasHeader(answer, "Server-Draining");
                return result.isShed ? observation_kind::shed : result.isSuccess ? observation_kind::good : observation_kind::failed;
            },
            [](const backend_not_sent &failure) {
                return failure.timedOut ? observation_kind::connectTimedOut : observation_kind::connectFailed;
            },
            [](const backend_outcome_unknown &unknown) { return unknown.timedOut ? observation_kind::timedOut : observation_kind::failed; },
        },
        result.result);
    // The request was already reported to the control plane as slow in flight, so its end is not counted again.
    if (wasReportedSlow && seen.kind != observation_kind::shed && !seen.isLeaving) {
        return;
    }
    if (!m_context.observations.push(seen)) {
        m_context.counters.add(counter::observationsDropped);
    }
}

http_answer request_handler::forward(const routed_request &routed, const node_view &node, int hopsLeft)
{
    backend_request request = toBackendRequest(routed.request);
    const instant now = std::chrono::steady_clock::now();
    request.headers.emplace("Flamingo-Deadline-Ms", std::to_string(std::max(0LL, toMilliseconds(routed.deadline - now))));
    request.headers.emplace("Flamingo-Hops", std::to_string(hopsLeft));
    if (request.headers.count("Flamingo-Account") == 0) {
        request.headers.emplace("Flamingo-Account", routed.request.remoteHost);
    }
    request.deadline = routed.deadline;
    request.requiresNewConnection = !routed.route.idempotent;
    const backend_result result = m_context.peers.send(node.address, request);
    return std::visit(overloaded{
                          [&](const backend_answer &answer) {
                              return routed.route.idempotent ? toClientAnswer(answer) : toCheckedAnswer(answer, toString(node.address));
                          },
                          [&](const backend_not_sent &failure) {
                              return toAnswer({503, work_outcome::notRun, failure.reason, "forward", toString(node.address), retryAfterMs});
                          },
                          [&](const backend_outcome_unknown &failure) {
                              return toAnswer({504, work_outcome::unknown, failure.reason, "forward", toString(node.address), 0});
                          },
                      },
                      result);
}

http_answer request_handler::forwardToIncarnation(const routed_request &routed, std::uint64_t incarnation)
{
    const problem unreachable{504,       work_outcome::unknown, "the key's node cannot be reached; whether the work ran is not known",
                              "forward", toHex(incarnation),    0};
    const auto keyNode = routed.snapshot.nodes.find(incarnation);
    if (routed.hopsLeft <= 0) {
        return toAnswer(unreachable);
    }
    m_context.counters.add(counter::requestsForwarded);
    if (keyNode != routed.snapshot.nodes.end()) {
        http_answer direct = forward(routed, keyNode->second, 0);
        // The request handler of each node adds Flamingo-Node; without it, the request did not reach the other node's handler or its
        // answer was lost.
        const bool isDelivered = direct.headers.count("Flamingo-Node") != 0;
        if (isDelivered) {
            return direct;
        }
    }
    if (routed.hopsLeft < maxHops || routed.snapshot.nodes.empty()) {
        return toAnswer(unreachable);
    }
    // The key's node may be unreachable from this node only, so one other node relays the request. The work still runs at
    // most once, as only the key's node runs it.
    m_context.counters.add(counter::requestsRelayed);
    auto relay = std::next(routed.snapshot.nodes.begin(), static_cast<long>(++m_sequence % routed.snapshot.nodes.size()));
    if (relay->first == incarnation) {
        relay = std::next(relay) == routed.snapshot.nodes.end() ? routed.snapshot.nodes.begin() : std::next(relay);
    }
    if (relay->first == incarnation) {
        return toAnswer(unreachable);
    }
    http_answer relayed = forward(routed, relay->second, 1);
    return relayed.headers.count("Flamingo-Node") != 0 ? relayed : toAnswer(unreachable);
}

http_answer request_handler::forwardToMember(const routed_request &routed)
{
    m_context.counters.add(counter::requestsForwarded);
    std::string names;
    for (const auto &member : routed.view.members) {
        names += (names.empty() ? "" : ",") + toString(member.address);
    }
    http_answer answer
        = toAnswer({503, work_outcome::notRun, "no member of the service is known", "forward", routed.service.name, retryAfterMs});
    std::optional<http_answer> lost; ///< Says that a member may have run the request.
    const std::size_t count = routed.view.members.size();
    for (std::size_t i = 0; i < std::min<std::size_t>(count, 2); ++i) {
        const node_view &member = routed.view.members[(routed.caller + i) % count];
        answer = forward(routed, member, 0);
        if (answer.headers.count("Flamingo-Node") != 0) {
            break;
        }
        if (!promisesNotRun(answer)) {
            lost = answer;
        }
    }
    if (lost && promisesNotRun(answer)) {
        answer = *lost;
    }
    answer.headers.emplace("Flamingo-Members", names);
    return answer;
}

} // namespace flamingofield
