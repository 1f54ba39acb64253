#include "proxy/internal/request_row.hpp"
#include "proxy/retry_after.hpp"
#include "report/log.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace flamingofield {

namespace {

/// Maximum of Retry-After as a share of the time left to the caller's deadline; callers ignore longer delays.
constexpr double maxRetryAfterShare = 1.0 / 3.0;
/// RFC 9110, 421 Misdirected Request: another process has the target's address and did not run the request.
constexpr int misdirectedRequest = 421;
/// RFC 9110, 503 Service Unavailable.
constexpr int serviceUnavailable = 503;
/// Longer header values are truncated in log lines.
constexpr std::size_t maxLoggedValueLength = 60;
/// Targets reach the caller's deadline slightly earlier than this node: a 504 that arrives up to this long before it counts as
/// caused by the deadline.
constexpr milliseconds deadlineMargin{60};
/// Minimum time left for a retry, as a multiple of the mean service time.
constexpr double minTimeLeftForRetry = 0.7;

load_report parseLoad(std::string_view text, instant now)
{
    load_report report;
    const auto comma = text.find(',');
    if (comma == std::string_view::npos) {
        return report;
    }
    const long long running = parseNumber(text.substr(0, comma));
    const long long waiting = parseNumber(text.substr(comma + 1, text.find(',', comma + 1) - comma - 1));
    if (running >= 0 && waiting >= 0) {
        report = {static_cast<int>(running), static_cast<int>(waiting), now};
    }
    return report;
}

/// A reused connection that the target had dropped while it was idle is reset within one round trip.
constexpr milliseconds staleConnectionResetTime{30};

/// True if the target had dropped the connection while it was idle, before it could receive the request.
bool wasConnectionStale(const exchange_result &result, duration taken)
{
    return result.wasConnectionReused && result.wasClosedByPeer && taken <= staleConnectionResetTime;
}

/// Classifies an exchange that ended without an answer.
target_outcome outcomeOf(const exchange_result &result, duration taken)
{
    if (result.wasCancelled || result.wasMemoryRefused) {
        return target_outcome::cancelled;
    }
    return result.wasClosedByPeer && !wasConnectionStale(result, taken) ? target_outcome::reset : target_outcome::broken;
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

std::string formatNumber(double value)
{
    std::array<char, 32> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed, 2).ptr;
    return {text.data(), end};
}

std::string millisecondsText(duration d)
{
    return std::to_string(toMilliseconds(d));
}

long long parseNumber(std::string_view text)
{
    long long value = -1;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc() ? value : -1;
}

void request_proxy::exchangeEnded(std::uint64_t serial, int attemptNumber, exchange_result result)
{
    const instant now = std::chrono::steady_clock::now();
    const auto found = m_requests.find(serial);
    if (found == m_requests.end()) {
        return;
    }
    request_row &row = *found->second;
    const auto position = std::find_if(row.running.begin(), row.running.end(),
                                       [attemptNumber](const running_attempt &attempt) { return attempt.number == attemptNumber; });
    if (position == row.running.end()) {
        return;
    }
    const std::string service = row.service;
    m_queues[service].recordEnd(row.accountId());
    const running_attempt ended = std::move(*position);
    row.running.erase(position);
    if (ended.isOverdue) {
        m_outcomes.removeOverdue(row.service);
    }
    row.sentAttempts += result.outcome == exchange_outcome::notSent ? 0 : 1;
    if (const target_row *target = m_targets.find(ended.targetKey)) {
        recordTransfer(*target, ended.sentBytes, result);
    }
    bool hasWon = false;
    if (result.outcome == exchange_outcome::answered) {
        hasWon = handleAnswer(row, ended, result, now);
    } else {
        handleLoss(row, ended, result, now);
    }
    if (ended.isEarly) {
        m_metrics.count("flamingofield_early_attempts_total", "service=\"" + service + "\",result=\"" + (hasWon ? "won" : "lost") + "\"");
    }
    dispatchQueued(service, now);
}

void request_proxy::handleLoss(request_row &row, const running_attempt &ended, const exchange_result &result, instant now)
{
    const duration taken = now - ended.sentAt;
    if (target_row *target = m_targets.find(ended.targetKey)) {
        // That another attempt was faster does not show the target to be impaired, which would exempt it from trials.
        const duration shown = ended.isSuperseded && result.wasCancelled ? duration::zero() : taken;
        m_targets.requestFinished(*target, outcomeOf(result, taken), shown, meanServiceTimeOf(row), now);
    }
    if (ended.isLate) {
        m_earlyRetry.recordUnserved(row.route->name, taken, now);
    }
    if (wasConnectionStale(result, taken)) {
        m_idleLimits[row.service].recordDrop(result.idleTime, now);
    }
    const bool mayHaveRun = result.outcome != exchange_outcome::notSent;
    const std::string verdict = mayHaveRun ? "may_have_run" : "not_sent";
    if (ended.isSuperseded && result.wasCancelled) {
        logEvent(log_level::info, "attempt_cancelled",
                 {{"id", row.id},
                  {"target", ended.targetId},
                  {"early", ended.isEarly ? "yes" : "no"},
                  {"verdict", verdict},
                  {"taken_ms", millisecondsText(taken)}});
    } else {
        logEvent(log_level::warn, "exchange_failed",
                 {{"id", row.id},
                  {"target", ended.targetId},
                  {"step", result.failure.step},
                  {"peer", result.failure.peer},
                  {"reason", result.failure.reason},
                  {"verdict", verdict},
                  {"reused", result.wasConnectionReused ? "yes" : "no"},
                  {"idle_ms", millisecondsText(result.idleTime)},
                  {"taken_ms", millisecondsText(taken)}});
    }
    retryOrAnswer(row, mayHaveRun, errorAnswer(502, "the target's answer was lost"), result.failure.step, now);
}

bool request_proxy::handleAnswer(request_row &row, const running_attempt &ended, exchange_result &result, instant now)
{
    const duration taken = now - ended.sentAt;
    target_row *target = m_targets.find(ended.targetKey);
    http_answer_message &answer = result.answer;
    const bool isReplaced = answer.status == misdirectedRequest;
    const bool isNotExecuted = answer.fields.has(m_names.notExecuted) || isReplaced;
    const bool isValidAnswer
        = answer.fields.has(m_names.seal) && !answer.fields.value(m_names.requestId).empty() && !answer.fields.has("Content-Encoding");
    target_outcome outcome = target_outcome::served;
    if (isNotExecuted) {
        outcome = isReplaced ? target_outcome::replaced : target_outcome::shed;
    } else if (isSuccess(answer.status) && !isValidAnswer) {
        outcome = target_outcome::broken;
    } else if (answer.status >= 500) {
        // A 504 at the caller's deadline is no failure of the target.
        outcome = answer.status == 504 && now + deadlineMargin >= row.deadline ? target_outcome::cancelled : target_outcome::failed;
    }
    if (target != nullptr) {
        if (!isReplaced) {
            applyTargetState(row, *target, answer, now);
        }
        m_targets.requestFinished(*target, outcome, taken, meanServiceTimeOf(row), now);
    }
    if (outcome == target_outcome::served && isSuccess(answer.status)) {
        m_serviceTimes.observe(row.route->name, taken);
        m_earlyRetry.recordServed({row.route->name, row.service, ended.targetKey}, taken, ended.isLate, now);
        m_timesByService.observe(row.service, taken);
        const std::size_t bytes = ended.sentBytes + transferSize(answer);
        m_transferSizes.observe(row.route->name, bytes);
        m_sizesByService.observe(row.service, bytes);
    } else if (ended.isLate) {
        m_earlyRetry.recordUnserved(row.route->name, taken, now);
    }
    if (outcome != target_outcome::served) {
        logEvent(log_level::info, "target_failed",
                 {{"id", row.id},
                  {"target", ended.targetId},
                  {"status", std::to_string(answer.status)},
                  {"not_executed", isNotExecuted ? "yes" : "no"},
                  {"taken_ms", millisecondsText(taken)},
                  {"sickness", target == nullptr ? "" : formatNumber(target->health.unhealthyProbability(now))}});
    }
    switch (outcome) {
    case target_outcome::served:
        return handleServed(row, answer, now);
    case target_outcome::shed:
        retryOrAnswer(row, false, {}, "target refused", now);
        break;
    case target_outcome::replaced:
        retryOrAnswer(row, false, {}, "the target's address belongs to another", now);
        break;
    case target_outcome::broken:
    case target_outcome::reset:
        retryOrAnswer(row, true, errorAnswer(502, "the target's answer was not sound"), "unsound answer", now);
        break;
    case target_outcome::failed:
    case target_outcome::cancelled:
        retryOrAnswer(row, true, answer, "target failed", now);
        break;
    }
    return false;
}

bool request_proxy::handleServed(request_row &row, const http_answer_message &answer, instant now)
{
    if (!isSuccess(answer.status) && !row.running.empty()) {
        // The other attempt may still succeed.
        ++row.possibleRuns;
        row.held = held_answer{answer, false};
        return false;
    }
    const bool isFirstSuccess = isSuccess(answer.status) && !row.isAnswered && !row.hasClientDisconnected;
    cancelSuperseded(row, now);
    deliverTargetAnswer(row, answer, "answered", now);
    return isFirstSuccess;
}

void request_proxy::cancelRunning(request_row &row)
{
    for (const running_attempt &attempt : row.running) {
        attempt.current->cancel();
    }
}

void request_proxy::cancelSuperseded(request_row &row, instant now)
{
    for (running_attempt &attempt : row.running) {
        attempt.isSuperseded = true;
        attempt.current->cancel();
        // A target that hangs would otherwise keep its estimated health, since its requests no longer run until they are overdue.
        if (!attempt.isEarly && attempt.isLate && !attempt.isOverdue) {
            suspectTarget(row, attempt, now);
        }
    }
}

void request_proxy::recordTransfer(const target_row &target, std::size_t sentBytes, const exchange_result &result)
{
    if (result.connectTime) {
        m_targets.recordConnectTime(target, *result.connectTime);
    }
    if (!m_targets.isRemote(target)) {
        return;
    }
    if (result.outcome != exchange_outcome::notSent) {
        m_metrics.count(dataCentreBytes, "cause=\"requests\"", sentBytes);
    }
    if (result.outcome == exchange_outcome::answered) {
        m_metrics.count(dataCentreBytes, "cause=\"answers\"", transferSize(result.answer));
    }
}

void request_proxy::applyTargetState(const request_row &row, target_row &target, const http_answer_message &answer, instant now)
{
    const load_report load = parseLoad(answer.fields.value(m_names.serverLoad), now);
    if (load.at != instant{}) {
        m_targets.setLoadReport(target, load);
    }
    if (answer.fields.value(m_names.serverLeaving) == "1" && m_targets.markLeaving(target)) {
        logEvent(log_level::info, "target_leaving", {{"target", target.entry.id}, {"source", "answer"}, {"id", row.id}});
    }
    const std::string_view retryAfter = answer.fields.value("Retry-After");
    if (answer.status != serviceUnavailable || retryAfter.empty()) {
        return;
    }
    const auto closure = parseRetryAfter(retryAfter);
    if (!closure) {
        logEvent(log_level::warn, "retry_after_ignored",
                 {{"target", target.entry.id}, {"id", row.id}, {"value", std::string(retryAfter.substr(0, maxLoggedValueLength))}});
        return;
    }
    m_targets.closeFor(target, *closure, now);
    logEvent(log_level::info, "target_closed", {{"target", target.entry.id}, {"id", row.id}, {"for_ms", millisecondsText(*closure)}});
}

bool request_proxy::canRetry(request_row &row, bool wasSent, instant now)
{
    const auto worthwhile = std::chrono::duration_cast<duration>(meanServiceTimeOf(row) * minTimeLeftForRetry);
    if (row.hasClientDisconnected || row.isAnswered || row.deadline - now < worthwhile) {
        return false;
    }
    return !wasSent || m_retries.isRetryAllowed(row.service, m_share.nodesSharingRetryBudget, now);
}

void request_proxy::retryOrAnswer(request_row &row, bool mayHaveRun, const http_answer_message &answer, std::string_view reason,
                                  instant now)
{
    row.possibleRuns += mayHaveRun ? 1 : 0;
    if (!row.running.empty()) {
        // Another attempt may still succeed; the request is retried or answered when it has ended.
        if (answer.status != 0 && !row.held) {
            row.held = held_answer{answer, true};
        }
        return;
    }
    if (row.held && !row.held->isFailure) {
        deliverHeldOrFail(row, 502, reason, now);
        return;
    }
    const bool wasSent = row.sentAttempts > 0;
    const bool isAllowed = !mayHaveRun || (row.isIdempotent() && row.possibleRuns < row.route->attempts);
    const bool isUnsafeToRetry = row.possibleRuns > 0 && !row.isIdempotent();
    if (isAllowed && !isUnsafeToRetry && canRetry(row, wasSent, now)) {
        retry(row, now);
        return;
    }
    if (row.isAnswered || row.hasClientDisconnected) {
        finish(row);
    } else if (row.possibleRuns == 0) {
        refuse(row, 503, reason, minRetryAfter, now);
    } else if (answer.status == 0) {
        deliverHeldOrFail(row, 502, reason, now);
    } else {
        deliverTargetAnswer(row, answer, "failed", now);
    }
}

void request_proxy::retry(request_row &row, instant now)
{
    row.held.reset();
    if (row.sentAttempts > 0) {
        m_retries.countRetry(row.service, now);
        m_metrics.count("flamingofield_repeats_total", "service=\"" + row.service + "\"");
    }
    if (trySend(row, now, false)) {
        return;
    }
    // Allow targets that were tried before, since there may be no others.
    row.triedTargets.clear();
    enqueue(row, now);
}

void request_proxy::deliver(request_row &row, const http_answer_message &answer, std::string_view outcome, instant now)
{
    if (!row.isAnswered && !row.hasClientDisconnected) {
        http_answer_message passed = answer;
        passed.fields.removeHopByHop();
        if (row.pending->request().method != "HEAD") {
            passed.fields.remove("Content-Length");
        }
        row.pending->answer(passed);
        const std::string route = row.route == nullptr ? "" : row.route->name;
        logEvent(log_level::info, "request_answered",
                 {{"id", row.id},
                  {"route", route},
                  {"outcome", std::string(outcome)},
                  {"status", std::to_string(answer.status)},
                  {"attempts", std::to_string(row.attempts)},
                  {"taken_ms", millisecondsText(now - row.arrivedAt)}});
        const std::string labels = "route=\"" + route + "\",outcome=\"" + std::string(outcome) + "\"";
        m_metrics.count("flamingofield_answers_total", labels);
        m_metrics.latency("flamingofield_answer_seconds", labels, now - row.arrivedAt);
        // Refusals beyond a quota count, too: the platform checks the floor share while many requests are not served, for any reason.
        if (!row.service.empty()) {
            m_outcomes.count(row.service, isSuccess(answer.status), now);
        }
        row.isAnswered = true;
    }
    finish(row);
}

void request_proxy::deliverTargetAnswer(request_row &row, const http_answer_message &answer, std::string_view outcome, instant now)
{
    if (!row.isAnswered && !row.isIdempotent() && promisesNotRun(answer.status)) {
        fail(row, 502,
             "expected " + m_names.notExecuted + " with status " + std::to_string(answer.status)
                 + " of the target, got none: the request may have run",
             now);
        return;
    }
    deliver(row, answer, outcome, now);
}

void request_proxy::refuse(request_row &row, int status, std::string_view reason, duration retryAfter, instant now, bool closesConnection)
{
    giveBackQuota(row, now);
    http_answer_message answer = errorAnswer(status, reason);
    answer.closesConnection = closesConnection;
    const double left = std::max(0.0, toSeconds(row.deadline - now)) * maxRetryAfterShare;
    const double wanted = std::max(toSeconds(retryAfter), toSeconds(minRetryAfter));
    // Random jitter keeps callers that were refused together from retrying together.
    const double spread = std::uniform_real_distribution<double>(0.8, 1.4)(m_random);
    answer.fields.add("Retry-After", formatNumber(std::max(0.05, std::min(wanted * spread, left))));
    answer.fields.add(m_names.requestId, row.id);
    logEvent(log_level::warn, "request_refused",
             {{"id", row.id},
              {"service", row.service},
              {"account", row.account == nullptr ? "" : row.account->name},
              {"reason", std::string(reason)},
              {"free_slots", std::to_string(row.service.empty() ? 0 : m_targets.freeSlotsOf(row.service, now))},
              {"targets_age_ms", millisecondsText(m_targetsAge)},
              {"waited_ms", millisecondsText(now - row.arrivedAt)}});
    deliver(row, answer, "refused", now);
}

void request_proxy::fail(request_row &row, int status, std::string_view reason, instant now)
{
    http_answer_message answer = errorAnswer(status, reason);
    answer.fields.add(m_names.requestId, row.id);
    logEvent(log_level::warn, "request_failed",
             {{"id", row.id},
              {"service", row.service},
              {"status", std::to_string(status)},
              {"reason", std::string(reason)},
              {"target", row.triedTargets.empty() ? "" : row.triedTargets.back()},
              {"config_version", row.config == nullptr ? "" : std::to_string(row.config->config.stamp.version)}});
    deliver(row, answer, "error", now);
}

void request_proxy::deliverHeldOrFail(request_row &row, int status, std::string_view reason, instant now)
{
    if (const auto held = std::exchange(row.held, std::nullopt)) {
        deliverTargetAnswer(row, held->answer, held->isFailure ? "failed" : "answered", now);
    } else {
        fail(row, status, reason, now);
    }
}

void request_proxy::handleClientDisconnect(std::uint64_t serial)
{
    const auto found = m_requests.find(serial);
    if (found == m_requests.end()) {
        return;
    }
    request_row &row = *found->second;
    row.hasClientDisconnected = true;
    logEvent(log_level::info, "client_left",
             {{"id", row.id},
              {"service", row.service},
              {"waiting", row.isQueued ? "yes" : "no"},
              {"target", row.triedTargets.empty() ? "" : row.triedTargets.back()}});
    if (row.running.empty()) {
        if (row.possibleRuns == 0) {
            giveBackQuota(row, std::chrono::steady_clock::now());
        }
        finish(row);
    } else if (row.isIdempotent()) {
        cancelRunning(row);
    }
    // A non-idempotent request runs to its end: cancelled halfway, it could be left incomplete, and the caller could not retry it.
}

void request_proxy::finish(request_row &row)
{
    if (row.isQueued) {
        m_queues[row.service].remove(row.serial);
        row.isQueued = false;
    }
    if (row.running.empty()) {
        m_requests.erase(row.serial);
    }
}

} // namespace flamingofield
