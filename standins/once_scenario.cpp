#include "once_scenario.hpp"

#include "caller.hpp"
#include "fleet.hpp"

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
    fleet &deployment;
    std::mutex mutex;
    std::vector<key_history> histories;
    std::atomic<bool> isDone{false};
};

void setLinks(fleet &deployment, const link_faults &faults, std::mt19937_64 &random)
{
    // At least one target stays healthy, so that requests can fail over to it.
    const std::size_t healthy = random() % deployment.targets().size();
    for (std::size_t i = 0; i < deployment.targets().size(); ++i) {
        deployment.targets()[i].proxy->setFaults(i != healthy && random() % 3 != 0 ? faults : link_faults{});
    }
}

void setBehaviours(fleet &deployment, const backend_behaviour &behaviour, std::mt19937_64 &random)
{
    backend_behaviour normal = behaviour;
    normal.isDraining = false;
    normal.shedsAll = false;
    const std::size_t healthy = random() % deployment.targets().size();
    for (std::size_t i = 0; i < deployment.targets().size(); ++i) {
        deployment.targets()[i].server->setBehaviour(i != healthy && random() % 3 != 0 ? behaviour : normal);
    }
}

void beginFault(once_fault fault, fleet &deployment, std::size_t node, std::mt19937_64 &random)
{
    link_faults links;
    backend_behaviour behaviour = deployment.targets().front().server->behaviour();
    child_process &process = deployment.nodes()[node].process;
    switch (fault) {
    case once_fault::none:
        return;
    case once_fault::dropBytesToTarget:
        links.dropToServer = true;
        break;
    case once_fault::dropBytesFromTarget:
        links.dropToClient = true;
        break;
    case once_fault::truncateAnswer:
        links.closeAfterBytesToClient = minAnswerBytes + random() % minAnswerBytes;
        break;
    case once_fault::refuseConnections:
        links.refuseConnections = true;
        break;
    case once_fault::killEntryVm:
    case once_fault::restartEntryVm:
        process.signal(SIGKILL);
        process.wait();
        if (fault == once_fault::restartEntryVm) {
            deployment.startNode(node);
        }
        return;
    case once_fault::suspendEntryVm:
        process.signal(SIGSTOP);
        return;
    case once_fault::dropPeerMessages:
        links.dropToServer = true;
        deployment.nodes()[node].peerProxy->setFaults(links);
        return;
    case once_fault::shedLoad:
        behaviour.shedsAll = true;
        setBehaviours(deployment, behaviour, random);
        return;
    case once_fault::drain:
        behaviour.isDraining = true;
        setBehaviours(deployment, behaviour, random);
        return;
    }
    setLinks(deployment, links, random);
}

void endFault(once_fault fault, fleet &deployment, std::size_t node, std::mt19937_64 &random)
{
    backend_behaviour behaviour = deployment.targets().front().server->behaviour();
    behaviour.shedsAll = false;
    behaviour.isDraining = false;
    setBehaviours(deployment, behaviour, random);
    for (auto &target : deployment.targets()) {
        target.proxy->setFaults({});
    }
    deployment.nodes()[node].peerProxy->setFaults({});
    if (fault == once_fault::suspendEntryVm) {
        deployment.nodes()[node].process.signal(SIGCONT);
    } else if (fault == once_fault::killEntryVm) {
        deployment.startNode(node);
    }
}

void injectFaults(once_fault fault, fleet &deployment, std::uint64_t seed, const std::atomic<bool> &isDone)
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
        call request;
        request.method = "POST";
        request.target = "/partia/once/" + std::to_string(k);
        request.body = "{}";
        request.timeout = callTimeout;
        const entry_address &chosen = nodes[random() % nodes.size()];
        request.key = client.newKey(chosen);
        request.entry = chosen.address;
        key_history history{request.key, {}};
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            const call_result got = client.send("partia", request);
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
        call request;
        request.method = "POST";
        request.target = "/partia/once/late";
        request.body = "{}";
        request.key = history.key;
        request.timeout = callTimeout;
        request.entry = state.deployment.nodes().front().gate;
        history.answers.insert(client.send("partia", request).outcome);
    }
}

once_tally evaluate(const shared_state &state)
{
    once_tally tally;
    tally.isStarted = true;
    const auto runs = state.deployment.runs();
    for (const auto &history : state.histories) {
        const auto found = runs.find(history.key);
        const int count = found == runs.end() ? 0 : found->second;
        const bool isDone = history.answers.count("done") != 0;
        const bool isNotRun = history.answers.count("not run") != 0;
        ++tally.keys;
        tally.toldDone += isDone ? 1 : 0;
        tally.toldNotRun += isNotRun ? 1 : 0;
        tally.toldUnknownOnly += !isDone && !isNotRun ? 1 : 0;
        tally.runTwice += count > 1 ? 1 : 0;
        tally.runAfterNotRun += isNotRun && count > 0 ? 1 : 0;
        tally.doneWithoutRun += isDone && count == 0 ? 1 : 0;
        if (tally.violations() > 0 && tally.firstViolation.empty()) {
            tally.firstViolation = history.key + " ran " + std::to_string(count) + " times;";
            for (const auto &answer : history.answers) {
                tally.firstViolation += " answer \"" + answer + "\";";
            }
        }
    }
    return tally;
}

} // namespace

const std::vector<once_fault> &allOnceFaults()
{
    static const std::vector<once_fault> all{once_fault::none,
                                             once_fault::dropBytesToTarget,
                                             once_fault::dropBytesFromTarget,
                                             once_fault::truncateAnswer,
                                             once_fault::refuseConnections,
                                             once_fault::killEntryVm,
                                             once_fault::restartEntryVm,
                                             once_fault::suspendEntryVm,
                                             once_fault::dropPeerMessages,
                                             once_fault::shedLoad,
                                             once_fault::drain};
    return all;
}

const char *toString(once_fault fault)
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

once_tally runOnceScenario(once_fault fault, std::uint64_t seed)
{
    fleet_plan plan;
    plan.services = {{"partia", 4, 4, 8, "sequential"}};
    plan.nodes = 4;
    plan.seed = seed;
    plan.hasTargetProxies = true;
    plan.hasPeerProxies = true;
    fleet deployment(plan);
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
