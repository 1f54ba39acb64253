// One machine is partitioned from the store for some seconds. Meanwhile a backend server leaves. When the machine reaches the store again,
// it keeps the server in its list for a while; the other machines, which know that the server has gone, must not take this list from it.
#include "../common-2/harness.h"

using namespace review;

namespace {

/// terms.bounds.drain_ms
constexpr int drainMs = 2000;
/// Time for which the machine is partitioned from the store.
constexpr int cutMs = 5500;
/// The server leaves this long after the start of the cut.
constexpr int leaveAfterMs = 1000;
/// The seed comes up this long after the end of the cut.
constexpr int seedAfterMs = 1000;
/// Time for which clients send requests after the machine has reached the store again.
constexpr int watchMs = 4000;
/// Clients that send one request after another.
constexpr int clientCount = 10;
/// Servers with two slots each; one of them leaves, a share of 0.2.
constexpr int serverCount = 5;
/// The configuration changes for this long, from a second before the end of the cut.
constexpr int stormMs = 4000;
constexpr int stormLeadMs = 1000;
/// Between two changes of the configuration.
constexpr int changeMs = 330;

/// Which of the two lists is newer when the machines hear of each other depends on the moment, so the same is done with new processes until
/// the rule breaks, at most this often.
constexpr int maxRounds = 4;

/// @return the exit status of the case
int runRound(record &log)
{
    const bool isTroubleOn = review::isTroubleOn();
    const std::string network = randomNetwork();
    temporary_folder folder;
    folder.files = {"entry-1.conf", "entry-1.log", "entry-2.conf", "entry-2.log", "entry-3.conf", "entry-3.log"};

    struct run
    {
        std::string id;
        std::string server;
        std::int64_t atMs;
    };
    std::mutex mutex;
    std::vector<run> runs;
    std::vector<std::unique_ptr<backend>> servers;
    store platformStore;
    if (!platformStore.start(network + "250")) {
        return notRunExit;
    }
    for (int i = 0; i < serverCount; ++i) {
        servers.push_back(std::make_unique<backend>());
        backend &server = *servers.back();
        server.id = "i-" + std::to_string(i);
        server.service = "partia";
        server.slots = 2;
        const auto serve = soundServer(server.id, [&, id = server.id](const message &request) {
            const std::string requestId = request.field("flamingofield-request-id");
            {
                const std::lock_guard<std::mutex> lock(mutex);
                runs.push_back({requestId, id, log.sinceStart()});
            }
            sleepMs(20);
            return backendAnswer(200, requestId, "ok " + requestId);
        });
        if (!server.start(network + std::to_string(100 + i), serve)) {
            return notRunExit;
        }
        server.registerAt(platformStore);
    }
    platformStore.put("op/config", configText(7, "partia"));

    // entry-1 and entry-2 know entry-3 as their seed, which is down at first.
    std::atomic<bool> isCut{false};
    address cutLink{network + "251", 0};
    if (!platformStore.startSecond(cutLink, isCut)) {
        return notRunExit;
    }
    std::vector<std::unique_ptr<node>> entries;
    const int meshPort = freePort(network + "1");
    for (int i = 0; i < 3; ++i) {
        entries.push_back(std::make_unique<node>());
        node &entry = *entries.back();
        entry.name = "entry-" + std::to_string(i + 1);
        entry.ip = network + std::to_string(i + 1);
        entry.directoryPath = folder.path;
        entry.choosePorts(meshPort);
        entry.cpuShare = i == 0 ? "0.5" : "0.2";
    }
    for (auto &entry : entries) {
        entry->seeds = entries[2]->control.text();
    }
    node &cut = *entries[0];
    node &calm = *entries[1];
    node &seed = *entries[2];
    if (!cut.start(cutLink) || !calm.start(platformStore.at) || !cut.waitReady(10000) || !calm.waitReady(10000)) {
        log.line("the entry nodes did not get ready");
        return notRunExit;
    }
    sleepMs(3500); // More than stable_window_ms since the start.

    log.line("entry-1 and entry-2 are ready; their seed entry-3 is down");
    if (isTroubleOn) {
        isCut = true;
        log.line("entry-1 is partitioned from the store for %d ms", cutMs);
    }
    sleepMs(leaveAfterMs);
    platformStore.remove("servers/i-0");
    const std::int64_t goneAt = log.sinceStart();
    log.line("the store has removed the entry of server i-0, which goes on serving");

    std::atomic<bool> isEnding{false};
    std::atomic<int> answered{0};
    std::map<std::string, std::int64_t> sentAt;
    std::thread changes([&] {
        sleepMs(cutMs - leaveAfterMs - stormLeadMs);
        for (int version = 8; version < 8 + stormMs / changeMs; ++version) {
            platformStore.put("op/config", configText(version, "partia"));
            sleepMs(changeMs);
        }
    });
    std::vector<std::thread> clients;
    for (int client = 0; client < clientCount; ++client) {
        clients.emplace_back([&, client] {
            for (int i = 0; !isEnding; ++i) {
                const std::string id = "write-" + std::to_string(client) + "-" + std::to_string(i);
                {
                    const std::lock_guard<std::mutex> lock(mutex);
                    sentAt[id] = log.sinceStart();
                }
                const message answer = sendRequest(calm.gate, clientHead("POST", "/write/x", id, 3000, "Content-Length: 0\r\n"), 3500);
                answered += answer.status() == 200 ? 1 : 0;
            }
        });
    }
    sleepMs(cutMs - leaveAfterMs);
    isCut = false;
    log.line("entry-1 reaches the store again");
    sleepMs(seedAfterMs);
    log.line("entry-3 starts");
    seed.start(platformStore.at);
    sleepMs(watchMs);
    isEnding = true;
    changes.join();
    for (std::thread &client : clients) {
        client.join();
    }

    int late = 0;
    int known = 0;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        for (const run &each : runs) {
            const std::int64_t sent = sentAt[each.id];
            if (each.server != "i-0") {
                continue;
            }
            ++known;
            if (sent > goneAt + drainMs) {
                ++late;
                log.line("DRAIN: %s, sent to entry-2 at %lld ms, ran on i-0 at %lld ms, %lld ms after its removal", each.id.c_str(),
                         static_cast<long long>(sent), static_cast<long long>(each.atMs), static_cast<long long>(each.atMs - goneAt));
            }
        }
        log.line("%zu requests ran, %d of them on i-0, %d of those were sent later than %d ms after its removal; %d clients got 200",
                 runs.size(), known, late, drainMs, answered.load());
    }
    if (answered == 0 || !calm.isRunning()) {
        return notRunExit;
    }
    return late > 0 ? brokenExit : heldExit;
}

} // namespace

int main()
{
    record log("review/7/record.txt");
    for (int round = 0; round < maxRounds; ++round) {
        log.line("round %d", round + 1);
        const int status = runRound(log);
        if (status != heldExit) {
            return status;
        }
    }
    return heldExit;
}
