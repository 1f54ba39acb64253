#include "soak/soak_checks.hpp"

#include <algorithm>

namespace soak {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Times of the platform's contract.
constexpr milliseconds stableWindow{3000};
constexpr milliseconds applyLimit{2000};
constexpr milliseconds drainLimit{2000};
constexpr milliseconds rollbackSlack{250};
constexpr seconds gracePeriod{6};
/// The timeout of all routes and the half second that the contract adds.
constexpr milliseconds answerLimit{2500 + 500};
/// Work that began in the last sixth of the grace period may be cut.
constexpr milliseconds lastSixth{1000};

/// One check's view of a run.
struct evidence
{
    const run_record &run;
    const disturbance_log &disturbances;
    const std::map<std::string, int> &runs; ///< By request id, over all servers.

    int runsOf(const std::string &id) const
    {
        const auto found = runs.find(id);
        return found == runs.end() ? 0 : found->second;
    }

    bool isProcessCalm(std::size_t node, instant from, instant to) const
    {
        return !disturbances.isDisturbed({subject_kind::process, node}, from, to);
    }

    /// The same, and no planned stop.
    bool isUndisturbed(std::size_t node, instant from, instant to) const
    {
        return isProcessCalm(node, from, to) && !disturbances.isDisturbed({subject_kind::planned_stop, node}, from, to);
    }

    /// True if nothing kept the node from the store's news.
    bool isInTouch(std::size_t node, instant from, instant to) const
    {
        return isUndisturbed(node, from, to) && !disturbances.isDisturbed({subject_kind::store_link, node}, from, to)
            && !disturbances.isDisturbed({subject_kind::store, 0}, from, to);
    }

    /// Start of the process that took a call: the last start of the node before it.
    instant incarnationOf(std::size_t node, instant at) const
    {
        instant started{};
        for (const auto &event : run.processes) {
            if (!event.isPlannedStop && event.node == node && event.at <= at) {
                started = std::max(started, event.at);
            }
        }
        return started;
    }
};

std::string describe(const call_record &call)
{
    return call.id + " at node " + std::to_string(call.node) + ", status " + std::to_string(call.status)
        + (call.problem.empty() ? "" : ", " + call.problem);
}

bool promisesNotRun(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

/// Work that must not repeat runs at most once, and not at all where an answer says so.
void checkRuns(const evidence &seen, const call_record &call, std::vector<std::string> &broken)
{
    const int runs = seen.runsOf(call.id);
    if (!call.mayRepeat && runs > 1) {
        broken.push_back("ran " + std::to_string(runs) + " times: " + describe(call));
    }
    if (!call.mayRepeat && runs > 0 && promisesNotRun(call.status)) {
        broken.push_back("ran though refused: " + describe(call));
    }
}

/// Each caller gets the whole answer to its own request.
void checkAnswer(const platform_standins::platform_fleet &fleet, const call_record &call, std::vector<std::string> &broken)
{
    if (call.status != 0 && !call.answeredId.empty() && call.answeredId != call.id) {
        broken.push_back("answer of " + call.answeredId + " for " + describe(call));
    }
    if (call.status >= 200 && call.status < 300) {
        const bool isOfAServer = std::any_of(fleet.servers.begin(), fleet.servers.end(),
                                             [&](const auto &server) { return server->bodyFor(call.id) == call.body; });
        if (!call.hasSeal || !isOfAServer) {
            broken.push_back("not a server's whole answer: " + describe(call));
        }
    }
    if (call.status >= 400 && call.status < 500 && !promisesNotRun(call.status) && call.version == 0) {
        broken.push_back("a proper request was rejected: " + describe(call));
    }
}

/// A request is answered by the timeout of its route.
void checkTime(const evidence &seen, const call_record &call, std::vector<std::string> &broken)
{
    const bool isCalm = seen.isUndisturbed(call.node, call.sentAt - stableWindow, call.endedAt)
        && !seen.disturbances.isDisturbed({subject_kind::gate_link, call.node}, call.sentAt - stableWindow, call.endedAt);
    if (isCalm && call.endedAt - call.sentAt > answerLimit) {
        broken.push_back("no answer in time: " + describe(call));
    }
}

/// A configuration is in force soon after its acknowledgement, and one that was in force stays so.
void checkVersions(const evidence &seen, const call_record &call, std::vector<std::string> &broken)
{
    if (call.version == 0 || call.status != 404) {
        return;
    }
    for (const auto &change : seen.run.changes) {
        if (change.version == call.version && call.sentAt > change.acknowledgedAt + applyLimit
            && seen.isInTouch(call.node, change.acknowledgedAt - stableWindow, call.endedAt)) {
            broken.push_back("configuration " + std::to_string(call.version) + " not in force: " + describe(call));
        }
    }
    const instant incarnation = seen.incarnationOf(call.node, call.sentAt);
    const auto wasInForce = [&](const call_record &earlier) {
        return earlier.node == call.node && earlier.version >= call.version && earlier.status >= 200 && earlier.status < 300
            && earlier.sentAt > incarnation && earlier.endedAt + rollbackSlack < call.sentAt;
    };
    if (std::any_of(seen.run.calls.begin(), seen.run.calls.end(), wasInForce) && seen.isUndisturbed(call.node, call.sentAt, call.endedAt)) {
        broken.push_back("configuration " + std::to_string(call.version) + " was in force before: " + describe(call));
    }
}

/// A server that leaves gets nothing new.
void checkDraining(const evidence &seen, const platform_standins::platform_fleet &fleet, const call_record &call,
                   std::vector<std::string> &broken)
{
    for (const auto &change : seen.run.changes) {
        const bool isLate = change.version == 0 && call.sentAt > change.acknowledgedAt + drainLimit && call.endedAt < change.revokedAt;
        if (isLate && call.body == fleet.servers[change.server]->bodyFor(call.id)
            && seen.isInTouch(call.node, change.acknowledgedAt - stableWindow, call.endedAt)) {
            broken.push_back("sent to a leaving server: " + describe(call));
        }
    }
}

/// A planned stop cuts nothing that a server works on.
void checkPlannedStops(const evidence &seen, const call_record &call, std::vector<std::string> &broken)
{
    if (call.status != 0 || !call.wasSent || seen.runsOf(call.id) == 0) {
        return;
    }
    for (const auto &event : seen.run.processes) {
        const bool isMeant = event.isPlannedStop && event.node == call.node && call.endedAt > event.at
            && call.sentAt < event.at + seconds(3) && call.endedAt < event.at + gracePeriod - lastSixth;
        const instant from = call.sentAt - stableWindow;
        if (isMeant && seen.isProcessCalm(call.node, from, call.endedAt)
            && !seen.disturbances.isDisturbed({subject_kind::gate_link, call.node}, from, call.endedAt)
            && !seen.disturbances.isAnyDisturbed(subject_kind::server, from, call.endedAt)) {
            broken.push_back("cut by a planned stop: " + describe(call));
        }
    }
}

} // namespace

std::string pathOfVersion(int version)
{
    return "/v" + std::to_string(version) + "/";
}

std::vector<std::string> brokenPromises(const run_record &run, const disturbance_log &disturbances,
                                        const platform_standins::platform_fleet &fleet)
{
    std::map<std::string, int> runs;
    for (const auto &server : fleet.servers) {
        for (const auto &[id, count] : server->runs()) {
            runs[id] += count;
        }
    }
    const evidence seen{run, disturbances, runs};
    std::vector<std::string> broken;
    for (const auto &call : run.calls) {
        checkRuns(seen, call, broken);
        checkAnswer(fleet, call, broken);
        checkTime(seen, call, broken);
        checkVersions(seen, call, broken);
        checkDraining(seen, fleet, call, broken);
        checkPlannedStops(seen, call, broken);
    }
    return broken;
}

} // namespace soak
