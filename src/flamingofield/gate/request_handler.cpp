#include "gate/request_handler.hpp"

#include "core/hash.hpp"
#include "core/overloaded.hpp"
#include "gate/address_answer.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace flamingofield {

namespace {

constexpr int callerHops = 2; // One to the key's node or to a member, one more through a relay.
constexpr int retryAfterMs = 200;
constexpr int mostAttempts = 3;
constexpr std::size_t mostRecordedBody = 64U << 10U;

std::optional<int> parseNumber(const std::string &text)
{
    int value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isWhole = failure == std::errc() && end == text.data() + text.size();
    return isWhole && value >= 0 ? std::optional<int>(value) : std::nullopt;
}

/// Headers of a hop that must not be passed on, and those that this system sets itself.
bool isHopHeader(const std::string &name)
{
    constexpr std::array<const char *, 12> names{
        "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length",   "Content-Type",         "Host",
        "Upgrade",    "TE",         "Trailer",           "Proxy-Connection", "Flamingo-Deadline-Ms", "Flamingo-Hops"};
    const bool isLibrary = name == "REMOTE_ADDR" || name == "REMOTE_PORT" || name == "LOCAL_ADDR" || name == "LOCAL_PORT";
    return isLibrary || std::any_of(names.begin(), names.end(), [&](const char *n) { return strcasecmp(n, name.c_str()) == 0; });
}

std::multimap<std::string, std::string> endToEndHeaders(const std::multimap<std::string, std::string> &headers)
{
    std::multimap<std::string, std::string> kept;
    for (const auto &[name, value] : headers) {
        if (!isHopHeader(name)) {
            kept.emplace(name, value);
        }
    }
    return kept;
}

bool hasHeader(const backend_answer &answer, const char *name)
{
    return std::any_of(answer.headers.begin(), answer.headers.end(), [&](const auto &h) { return strcasecmp(h.first.c_str(), name) == 0; });
}

/// The backend server's protocol for work that it did not start: 503 with Request-Not-Run.
bool isShed(const backend_answer &answer)
{
    return answer.status == 503 && hasHeader(answer, "Request-Not-Run");
}

http_answer passOn(const backend_answer &answer)
{
    http_answer passed;
    passed.status = answer.status;
    passed.contentType = answer.contentType.empty() ? "application/octet-stream" : answer.contentType;
    passed.body = answer.body;
    passed.headers = endToEndHeaders(answer.headers);
    return passed;
}

backend_request passOn(const http_request &request)
{
    backend_request passed;
    passed.method = request.method;
    passed.target = request.target;
    passed.body = request.body;
    passed.contentType = request.contentType;
    passed.headers = endToEndHeaders(request.headers);
    return passed;
}

http_answer fromRecord(const recorded_answer &record)
{
    http_answer answer;
    answer.status = record.status;
    answer.contentType = record.contentType;
    answer.body = record.body;
    answer.headers.emplace("Flamingo-Recorded", "true");
    return answer;
}

} // namespace

/// A request with all that has been decided about it.
struct request_handler::job
{
    const http_request &request;
    const fleet_snapshot &snapshot;
    const route_spec &route;
    const service_spec &service;
    const service_view &view;
    int rank = 0;
    instant arrived;
    instant deadline;
    std::uint64_t caller = 0;
    int hops = callerHops;
    bool isRepeat = false; ///< Already a retry of a hop before, so it is not retried here.
};

/// How one attempt at a target ended.
struct request_handler::attempt_result
{
    backend_result result;
    bool isShed = false;
    bool isGood = false;
};

request_handler::request_handler(request_context context)
    : m_context(context)
{
}

http_answer request_handler::handle(const http_request &request)
{
    ++m_inFlight;
    const auto snapshot = m_context.snapshots.get();
    http_answer answer = snapshot == nullptr || snapshot->text == nullptr
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
    const route_spec &found = snapshot.text->routes[static_cast<std::size_t>(index)];
    const auto service = static_cast<std::size_t>(findService(*snapshot.text, found.service));
    const int rank = findRank(*snapshot.text, found.rank);
    milliseconds allowed = snapshot.text->ranks[static_cast<std::size_t>(rank)].deadline;
    const std::string wanted = request.header("Flamingo-Deadline-Ms");
    if (!wanted.empty()) {
        const auto parsed = parseNumber(wanted);
        if (!parsed) {
            return toAnswer(
                {400, work_outcome::notRun, "Flamingo-Deadline-Ms is not a whole number", "read deadline", request.remoteHost, 0});
        }
        allowed = std::min(allowed, milliseconds(*parsed));
    }
    const std::string account = request.header("Flamingo-Account");
    const job work{request,
                   snapshot,
                   found,
                   snapshot.text->services[service],
                   snapshot.services[service],
                   rank,
                   now,
                   now + allowed,
                   hashOf(account.empty() ? request.remoteHost : account),
                   std::min(parseNumber(request.header("Flamingo-Hops")).value_or(callerHops), callerHops),
                   !request.header("Flamingo-Attempt").empty()};
    return serve(work);
}

/// Refuses a request before its work was looked at. An earlier copy may have run here or elsewhere, so "not run" is
/// only said where this node can close the key.
http_answer request_handler::refuse(const http_request &request, problem p)
{
    const auto key = parseIdempotencyKey(request.header("Idempotency-Key"));
    if (!key) {
        return toAnswer(p);
    }
    const begin_result begun = m_context.outcomes.begin(key.value(), std::chrono::steady_clock::now());
    if (std::holds_alternative<run_granted>(begun)) {
        m_context.outcomes.close(key.value(), p.detail);
    } else if (!std::holds_alternative<run_closed>(begun)) {
        p.outcome = work_outcome::unknown;
    }
    return toAnswer(p);
}

http_answer request_handler::serve(const job &work)
{
    http_answer answer = work.route.idempotent ? serveIdempotent(work) : serveOnce(work);
    const instant now = std::chrono::steady_clock::now();
    request_end end = request_end::served;
    if (answer.contentType == "application/problem+json") {
        end = answer.body.find("\"outcome\":\"unknown\"") != std::string::npos ? request_end::unknown : request_end::refused;
    } else if (answer.status >= 500) {
        end = request_end::failed;
    } else if (now > work.deadline) {
        end = request_end::late;
    }
    m_context.metrics.record(work.service.name, work.route.rank, end, now - work.arrived, now);
    return answer;
}

slot_result request_handler::acquire(const job &work, std::uint64_t excluded)
{
    slot_request request;
    request.rank = work.rank;
    request.caller = work.caller;
    request.deadline = work.deadline;
    const bool isLeastUrgent = work.rank + 1 == static_cast<int>(work.snapshot.text->ranks.size());
    request.pick = {work.route.idempotent && isLeastUrgent, excluded, ++m_sequence, {}};
    return work.view.gate->acquire(request);
}

http_answer request_handler::serveOnce(const job &work)
{
    const std::string text = work.request.header("Idempotency-Key");
    const auto key = parseIdempotencyKey(text);
    if (!key) {
        const std::string hint = text.empty() ? "this route needs an Idempotency-Key; see /v1/addresses" : key.error().reason;
        return toAnswer({400, work_outcome::notRun, hint, "parse key", work.request.remoteHost, 0});
    }
    if (key.value().incarnation != m_context.incarnation) {
        return forwardToIncarnation(work, key.value().incarnation);
    }
    const begin_result begun = m_context.outcomes.begin(key.value(), work.deadline);
    return std::visit(overloaded{
                          [&](const run_granted &) { return runOnce(work, key.value()); },
                          [&](const run_in_progress &) {
                              return toAnswer({504, work_outcome::unknown, "the work is still running", "await outcome", "", retryAfterMs});
                          },
                          [&](const run_recorded &r) { return fromRecord(*r.answer); },
                          [&](const run_closed &r) {
                              return toAnswer({503, work_outcome::notRun, r.reason, "begin", "", retryAfterMs});
                          },
                          [&](const run_unknown &r) {
                              return toAnswer({504, work_outcome::unknown, r.reason, "begin", "", 0});
                          },
                      },
                      begun);
}

http_answer request_handler::runOnce(const job &work, const idempotency_key &key)
{
    std::uint64_t excluded = 0;
    std::string reason = "no backend server could be reached";
    for (int i = 0; i < mostAttempts; ++i) {
        const slot_result slot = acquire(work, excluded);
        if (const auto *refusal = std::get_if<slot_refusal>(&slot)) {
            reason = i == 0 ? describe(refusal->reason) : reason;
            break;
        }
        const std::size_t target = std::get<slot_grant>(slot).target;
        const attempt_result result = attempt(work, target, work.deadline, true);
        if (const auto *answer = std::get_if<backend_answer>(&result.result); answer != nullptr && !result.isShed) {
            const bool isSmall = answer->body.size() <= mostRecordedBody;
            m_context.outcomes.finish(key, {answer->status, answer->contentType, isSmall ? answer->body : std::string()});
            return passOn(*answer);
        }
        if (const auto *lost = std::get_if<backend_lost>(&result.result)) {
            m_context.outcomes.lose(key, lost->reason);
            return toAnswer({504, work_outcome::unknown, lost->reason, "await answer", toString(work.view.targets[target]), 0});
        }
        // A failed connect or a shed answer proves that the work was not run, so another target may be tried.
        excluded |= target < 64 ? std::uint64_t{1} << target : 0;
        reason = result.isShed ? "the backend servers refused the work for load" : std::get<backend_not_sent>(result.result).reason;
    }
    m_context.outcomes.close(key, reason);
    return toAnswer({503, work_outcome::notRun, reason, "acquire slot", work.service.name, retryAfterMs});
}

http_answer request_handler::serveIdempotent(const job &work)
{
    if (!work.view.isMember && work.hops > 0) {
        return forwardToMember(work);
    }
    work.view.gate->depositRetry();
    std::uint64_t excluded = 0;
    problem last{503, work_outcome::notRun, "no backend server could be reached", "acquire slot", work.service.name, retryAfterMs};
    bool mayHaveRun = false;
    for (int i = 0; i < mostAttempts; ++i) {
        if (i > 0 && (work.isRepeat || !work.view.gate->withdrawRetry())) {
            break;
        }
        const slot_result slot = acquire(work, excluded);
        if (const auto *refusal = std::get_if<slot_refusal>(&slot)) {
            last.detail = i == 0 ? describe(refusal->reason) : last.detail;
            break;
        }
        m_context.counters.add(counter::retriesSent, i > 0 ? 1 : 0);
        const std::size_t target = std::get<slot_grant>(slot).target;
        const bool isLastTry = i + 1 == mostAttempts || work.isRepeat;
        const instant limit
            = isLastTry ? work.deadline : std::min(work.deadline, std::chrono::steady_clock::now() + work.view.attemptLimit);
        const attempt_result result = attempt(work, target, limit, false);
        if (result.isGood) {
            return passOn(std::get<backend_answer>(result.result));
        }
        excluded |= target < 64 ? std::uint64_t{1} << target : 0;
        const bool isSent = !std::holds_alternative<backend_not_sent>(result.result) && !result.isShed;
        mayHaveRun = mayHaveRun || isSent;
        const auto *answer = std::get_if<backend_answer>(&result.result);
        last.peer = toString(work.view.targets[target]);
        last.step = "await answer";
        last.detail = answer != nullptr ? "status " + std::to_string(answer->status) : "no whole answer";
        last.status = result.isShed || !isSent ? 503 : answer != nullptr ? 502 : 504;
    }
    last.outcome = mayHaveRun ? work_outcome::unknown : work_outcome::notRun;
    return toAnswer(last);
}

request_handler::attempt_result request_handler::attempt(const job &work, std::size_t target, instant deadline, bool fresh)
{
    const instant begun = std::chrono::steady_clock::now();
    const std::uint64_t number = m_context.inflight.begin(work.view.number, target, work.caller, begun);
    backend_request request = passOn(work.request);
    request.headers.emplace("Flamingo-Deadline-Ms", std::to_string(std::max(0LL, toMilliseconds(work.deadline - begun))));
    request.deadline = deadline;
    request.freshConnection = fresh;
    attempt_result done{m_context.targets.send(work.view.targets[target], request)};
    const duration latency = std::chrono::steady_clock::now() - begun;
    const bool alreadyLate = m_context.inflight.end(number);
    if (const auto *answer = std::get_if<backend_answer>(&done.result)) {
        done.isShed = isShed(*answer);
        done.isGood = answer->status < 500;
    }
    const auto *lost = std::get_if<backend_lost>(&done.result);
    work.view.gate->release(target, work.rank, done.isGood, done.isShed);
    if (lost != nullptr && lost->reusedConnection && work.route.idempotent && std::chrono::steady_clock::now() < work.deadline) {
        return attemptOnFreshConnection(work, target, deadline + work.view.attemptLimit);
    }
    observe(work, target, done, alreadyLate, latency);
    return done;
}

request_handler::attempt_result request_handler::attemptOnFreshConnection(const job &work, std::size_t target, instant deadline)
{
    // A reused connection may have gone silent without any fault of the target; a fresh one tells which it was.
    work.view.gate->addUse(target, work.rank);
    attempt_result second = attempt(work, target, std::min(deadline, work.deadline), true);
    if (second.isGood) {
        m_context.counters.add(counter::silentConnections);
        m_context.targets.dropIdle(work.view.targets[target]);
    }
    return second;
}

void request_handler::observe(const job &work, std::size_t target, const attempt_result &result, bool alreadyLate, duration latency)
{
    observation seen;
    seen.service = work.view.number;
    seen.target = target;
    seen.latency = latency;
    seen.at = std::chrono::steady_clock::now();
    seen.source = work.caller;
    seen.kind = std::visit(overloaded{
                               [&](const backend_answer &answer) {
                                   seen.isLeaving = hasHeader(answer, "Server-Draining");
                                   return result.isShed ? observed::shed : result.isGood ? observed::good : observed::failed;
                               },
                               [](const backend_not_sent &) { return observed::connectFailed; },
                               [](const backend_lost &lost) { return lost.timedOut ? observed::timedOut : observed::failed; },
                           },
                           result.result);
    if (alreadyLate && seen.kind != observed::shed && !seen.isLeaving) {
        return;
    }
    if (!m_context.observations.push(seen)) {
        m_context.counters.add(counter::observationsDropped);
    }
}

http_answer request_handler::forward(const job &work, const member_view &node, int hopsLeft)
{
    backend_request request = passOn(work.request);
    const instant now = std::chrono::steady_clock::now();
    request.headers.emplace("Flamingo-Deadline-Ms", std::to_string(std::max(0LL, toMilliseconds(work.deadline - now))));
    request.headers.emplace("Flamingo-Hops", std::to_string(hopsLeft));
    if (request.headers.count("Flamingo-Account") == 0) {
        request.headers.emplace("Flamingo-Account", work.request.remoteHost);
    }
    request.deadline = work.deadline;
    request.freshConnection = !work.route.idempotent;
    const backend_result result = m_context.peers.send(node.address, request);
    return std::visit(overloaded{
                          [&](const backend_answer &answer) { return passOn(answer); },
                          [&](const backend_not_sent &failure) {
                              return toAnswer({503, work_outcome::notRun, failure.reason, "forward", toString(node.address), retryAfterMs});
                          },
                          [&](const backend_lost &failure) {
                              return toAnswer({504, work_outcome::unknown, failure.reason, "forward", toString(node.address), 0});
                          },
                      },
                      result);
}

http_answer request_handler::forwardToIncarnation(const job &work, std::uint64_t incarnation)
{
    const problem gone{504,       work_outcome::unknown, "the key's node cannot be reached; whether the work ran is not known",
                       "forward", toHex(incarnation),    0};
    const auto named = work.snapshot.nodes.find(incarnation);
    if (work.hops <= 0) {
        return toAnswer(gone);
    }
    m_context.counters.add(counter::requestsForwarded);
    if (named != work.snapshot.nodes.end()) {
        http_answer direct = forward(work, named->second, 0);
        const bool isDelivered = direct.headers.count("Flamingo-Node") != 0;
        if (isDelivered) {
            return direct;
        }
    }
    if (work.hops < callerHops || work.snapshot.nodes.empty()) {
        return toAnswer(gone);
    }
    // The node may be dark from here only; one relay tries from elsewhere. The key's node still runs the work once at most.
    m_context.counters.add(counter::requestsRelayed);
    auto relay = std::next(work.snapshot.nodes.begin(), static_cast<long>(++m_sequence % work.snapshot.nodes.size()));
    if (relay->first == incarnation) {
        relay = std::next(relay) == work.snapshot.nodes.end() ? work.snapshot.nodes.begin() : std::next(relay);
    }
    if (relay->first == incarnation) {
        return toAnswer(gone);
    }
    http_answer relayed = forward(work, relay->second, 1);
    return relayed.headers.count("Flamingo-Node") != 0 ? relayed : toAnswer(gone);
}

http_answer request_handler::forwardToMember(const job &work)
{
    m_context.counters.add(counter::requestsForwarded);
    std::string names;
    for (const auto &member : work.view.members) {
        names += (names.empty() ? "" : ",") + toString(member.address);
    }
    http_answer answer
        = toAnswer({503, work_outcome::notRun, "no member of the service is known", "forward", work.service.name, retryAfterMs});
    const std::size_t count = work.view.members.size();
    for (std::size_t i = 0; i < std::min<std::size_t>(count, 2); ++i) {
        const member_view &member = work.view.members[(work.caller + i) % count];
        answer = forward(work, member, 0);
        if (answer.headers.count("Flamingo-Node") != 0) {
            break;
        }
    }
    answer.headers.emplace("Flamingo-Members", names);
    return answer;
}

} // namespace flamingofield
