#include "idempotency_scenario.hpp"

#include "caller.hpp"
#include "test_deployment.hpp"

#include <array>
#include <atomic>
#include <csignal>
#include <mutex>
#include <random>
#include <set>
#include <thread>

namespace standins {

using flamingofield::milliseconds;

namespace {

constexpr int callerCount = 8;
constexpr int keysPerCaller = 30;
constexpr int maxAttempts = 5;
constexpr milliseconds callTimeout{250}; // Below the deadline of the rank, so that repeats overlap.
constexpr milliseconds faultDuration{600};
constexpr milliseconds pauseBetweenFaults{250};
constexpr milliseconds pauseBetweenKeys{30}; // Spreads the keys over several faults.
constexpr milliseconds settleTime{2500}; // Above the deadline of the rank, so that no request is still running.
constexpr std::size_t minAnswerBytes = 40; // Truncated answers have at least this many bytes and fewer than twice as many.

/// All answers that one key got.
struct key_history
{
    std::string key;
    std::set<std::string> answers;
};

struct shared_state
{
    test_deployment &deployment;
    std::mutex mutex;
    std::vector<key_history> histories;
    std::atomic<bool> isDone{false};
};

void setLinks(test_deployment &deployment, const link_faults &faults, std::mt19937_64 &random)
{
    // At least one target stays healthy, so that requests can fail over to it.
    const std::size_t healthy = random() % deployment.targets().size();
    for (std::size_t i = 0; i < deployment.targets().size(); ++i) {
        deployment.targets()[i].proxy->setFaults(i != healthy && random() % 3 != 0 ? faults : link_faults{});
    }
}

void setBehaviours(test_deployment &deployment, const backend_behaviour &behaviour, std::mt19937_64 &random)
{
    backend_behaviour normal = behaviour;
    normal.isDraining = false;
    normal.shedsAll = false;
    const std::size_t healthy = random() % deployment.targets().size();
    for (std::size_t i = 0; i < deployment.targets().size(); ++i) {
        deployment.targets()[i].server->setBehaviour(i != healthy && random() % 3 != 0 ? behaviour : normal);
    }
}

void beginFault(idempotency_fault fault, test_deployment &deployment, std::size_t node, std::mt19937_64 &random)
{
    link_faults links;
    backend_behaviour behaviour = deployment.targets().front().server->behaviour();
    child_process &process = deployment.nodes()[node].process;
    switch (fault) {
    case idempotency_fault::none:
        return;
    case idempotency_fault::dropBytesToTarget:
        links.dropToServer = true;
        break;
    case idempotency_fault::dropBytesFromTarget:
        links.dropToClient = true;
        break;
    case idempotency_fault::truncateAnswer:
        links.closeAfterBytesToClient = minAnswerBytes + random() % minAnswerBytes;
        break;
    case idempotency_fault::refuseConnections:
        links.refuseConnections = true;
        break;
    case idempotency_fault::killEntryVm:
    case idempotency_fault::restartEntryVm:
        process.signal(SIGKILL);
        process.wait();
        if (fault == idempotency_fault::restartEntryVm) {
            deployment.startNode(node);
        }
        return;
    case idempotency_fault::suspendEntryVm:
        process.signal(SIGSTOP);
        return;
    case idempotency_fault::dropPeerMessages:
        links.dropToServer = true;
        deployment.nodes()[node].peerProxy->setFaults(links);
        return;
    case idempotency_fault::shedLoad:
        behaviour.shedsAll = true;
        setBehaviours(deployment, behaviour, random);
        return;
    case idempotency_fault::drain:
        behaviour.isDraining = true;
        setBehaviours(deployment, behaviour, random);
        return;
    }
    setLinks(deployment, links, random);
}

void endFault(idempotency_fault fault, test_deployment &deployment, std::size_t node, std::mt19937_64 &random)
{
    backend_behaviour behaviour = deployment.targets().front().server->behaviour();
    behaviour.shedsAll = false;
    behaviour.isDraining = false;
    setBehaviours(deployment, behaviour, random);
    for (auto &target : deployment.targets()) {
        target.proxy->setFaults({});
    }
    deployment.nodes()[node].peerProxy->setFaults({});
    if (fault == idempotency_fault::suspendEntryVm) {
        deployment.nodes()[node].process.signal(SIGCONT);
    } else if (fault == idempotency_fault::killEntryVm) {
        deployment.startNode(node);
    }
}

void injectFaults(idempotency_fault fault, test_deployment &deployment, std::uint64_t seed, const std::atomic<bool> &isDone)
{
    std::mt19937_64 random(seed);
    while (!isDone) {
        const std::size_t node = random() % deployment.nodes().size();
        beginFault(fault, deployment, node, random);
        std::this_thread::sleep_for(faultDuration);
        endFault(fault, deployment, node, random);
        std::this_thread::sleep_for(pauseBetweenFaults);
    }
}

void sendRequests(shared_state &state, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    caller client(state.deployment.gates());
    for (int k = 0; k < keysPerCaller; ++k) {
        const auto nodes = client.addresses("partia");
        if (nodes.empty()) {
            std::this_thread::sleep_for(milliseconds(50));
            continue;
        }
        caller_request request;
        request.method = "POST";
        request.target = "/partia/once/" + std::to_string(k);
        request.body = "{}";
        request.timeout = callTimeout;
        const entry_address &chosen = nodes[random() % nodes.size()];
        request.key = client.newKey(chosen);
        request.entry = chosen.address;
        key_history history{request.key, {}};
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            const caller_result got = client.send("partia", request);
            history.answers.insert(got.outcome);
            if (got.outcome == "done" && random() % 4 != 0) {
                break; // One in four requests is repeated although it was answered.
            }
            request.entry = state.deployment.nodes()[random() % state.deployment.nodes().size()].gate;
        }
        {
            const std::lock_guard lock(state.mutex);
            state.histories.push_back(std::move(history));
        }
        std::this_thread::sleep_for(pauseBetweenKeys);
    }
}

/// Repeats each key long after its answer, which must not run it again.
void sendDelayedRepeats(shared_state &state)
{
    caller client(state.deployment.gates());
    for (auto &history : state.histories) {
        caller_request request;
        request.method = "POST";
        request.target = "/partia/once/late";
        request.body = "{}";
        request.key = history.key;
        request.timeout = callTimeout;
        request.entry = state.deployment.nodes().front().gate;
        history.answers.insert(client.send("partia", request).outcome);
    }
}

idempotency_result evaluate(const shared_state &state)
{
    idempotency_result result;
    result.isStarted = true;
    const auto runs = state.deployment.runCounts();
    for (const auto &history : state.histories) {
        const auto found = runs.find(history.key);
        const int count = found == runs.end() ? 0 : found->second;
        const bool isDone = history.answers.count("done") != 0;
        const bool isNotRun = history.answers.count("not run") != 0;
        ++result.keys;
        result.answeredDone += isDone ? 1 : 0;
        result.answeredNotRun += isNotRun ? 1 : 0;
        result.answeredUnknownOnly += !isDone && !isNotRun ? 1 : 0;
        result.runTwice += count > 1 ? 1 : 0;
        result.runAfterNotRun += isNotRun && count > 0 ? 1 : 0;
        result.doneWithoutRun += isDone && count == 0 ? 1 : 0;
        if (result.violations() > 0 && result.firstViolation.empty()) {
            result.firstViolation = history.key + " ran " + std::to_string(count) + " times;";
            for (const auto &answer : history.answers) {
                result.firstViolation += " answer \"" + answer + "\";";
            }
        }
    }
    return result;
}

} // namespace

const std::vector<idempotency_fault> &allIdempotencyFaults()
{
    static const std::vector<idempotency_fault> all{idempotency_fault::none,
                                                    idempotency_fault::dropBytesToTarget,
                                                    idempotency_fault::dropBytesFromTarget,
                                                    idempotency_fault::truncateAnswer,
                                                    idempotency_fault::refuseConnections,
                                                    idempotency_fault::killEntryVm,
                                                    idempotency_fault::restartEntryVm,
                                                    idempotency_fault::suspendEntryVm,
                                                    idempotency_fault::dropPeerMessages,
                                                    idempotency_fault::shedLoad,
                                                    idempotency_fault::drain};
    return all;
}

const char *toString(idempotency_fault fault)
{
    constexpr std::array<const char *, 11> names{"no fault",
                                                 "cut to targets",
                                                 "cut from targets",
                                                 "answers cut short",
                                                 "targets refuse connections",
                                                 "entry VM killed",
                                                 "entry VM restarted at its address",
                                                 "entry VM frozen and woken",
                                                 "entry VM hears no peers",
                                                 "targets shed",
                                                 "targets drain"};
    return names[static_cast<std::size_t>(fault)];
}

idempotency_result runIdempotencyScenario(idempotency_fault fault, std::uint64_t seed)
{
    deployment_plan plan;
    plan.services = {{"partia", 4, 4, 8, "sequential"}};
    plan.nodes = 4;
    plan.seed = seed;
    plan.hasTargetProxies = true;
    plan.hasPeerProxies = true;
    test_deployment deployment(plan);
    if (!deployment.start()) {
        return {};
    }
    shared_state state{deployment, {}, {}, {}};
    std::thread faults([&] { injectFaults(fault, deployment, seed, state.isDone); });
    std::vector<std::thread> threads;
    for (int i = 0; i < callerCount; ++i) {
        threads.emplace_back([&, i] { sendRequests(state, seed * 100 + static_cast<std::uint64_t>(i)); });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    state.isDone = true;
    faults.join();
    std::this_thread::sleep_for(settleTime);
    sendDelayedRepeats(state);
    std::this_thread::sleep_for(settleTime);
    return evaluate(state);
}

} // namespace standins
