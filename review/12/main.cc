/// The store comes back from a copy some seconds old; a target that leaves afterwards is to get no more requests.
#include "../common-3/harness.h"

using namespace review;

namespace {

constexpr int drainMs = 2000;
constexpr int stableMs = 3000;
constexpr int nodeCount = 3;

std::string versionText(int version)
{
    std::vector<route> routes{{"close", "/close/", "unsafe", "partia"}, {"read", "/read/", "safe", "wilgoc"}};
    for (int i = 7; i < version; ++i) {
        routes.push_back({"added-" + std::to_string(i), "/added-" + std::to_string(i) + "/", "safe", "wilgoc"});
    }
    return configText(version, routes, {"partia", "wilgoc"});
}

} // namespace

int main(int argc, char **argv)
{
    record.open(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
    const temporary_folder folder;
    const std::string network = freeNetwork();
    if (network.empty() || folder.path.empty()) {
        return notRun;
    }
    store platformStore;
    const std::string storeHost = network + "250";
    if (!platformStore.start(storeHost, 8384)) {
        return notRun;
    }
    std::vector<std::unique_ptr<target>> targets;
    std::vector<target *> joining;
    for (int i = 0; i < 6; ++i) {
        targets.push_back(
            std::make_unique<target>("i-" + std::to_string(i), i < 3 ? "partia" : "wilgoc", i % 2 == 0 ? "zone-a" : "zone-b", 4));
        targets.back()->workMs = 300;
        if (!targets.back()->start(network + std::to_string(100 + i), 8080)) {
            return notRun;
        }
        if (i >= 4) {
            joining.push_back(targets.back().get());
        } else {
            platformStore.put("servers/" + targets.back()->id, targets.back()->registration(false));
        }
    }
    platformStore.put("op/config", versionText(7));

    std::vector<std::unique_ptr<node>> nodes;
    for (int i = 0; i < nodeCount; ++i) {
        settings_values values;
        values.address = network + std::to_string(i + 1);
        values.zone = i == 0 ? "zone-a" : i == 1 ? "zone-b" : "zone-c";
        values.store = storeHost + ":8384";
        values.seeds = {network + "1", network + "2", network + "3"};
        nodes.push_back(std::make_unique<node>(values.address, values.zone, folder.path));
        nodes.back()->start(settingsText(values));
    }
    for (const auto &each : nodes) {
        if (!awaitReady(each->address)) {
            record.line("node %s is not ready", each->address.c_str());
            return notRun;
        }
    }
    record.line("three nodes are ready, the store is at revision %llu", static_cast<unsigned long long>(platformStore.revision()));
    sleepMs(4000);

    store_drill::run(platformStore, joining, versionText(8));
    sleepMs(2 * stableMs);

    // The target reports that it drains, says so in its answers and health path, and goes on serving.
    target &leaving = *targets.front();
    leaving.isLeaving = true;
    const auto revision = platformStore.put("servers/" + leaving.id, leaving.registration(true));
    const long long acknowledgedMs = nowMs();
    record.line("target %s reports draining, acknowledged at revision %llu", leaving.id.c_str(), static_cast<unsigned long long>(revision));
    // A calm service: its next requests come after drain_ms, four at a time at each node.
    sleepMs(drainMs + 300);
    std::vector<std::thread> clients;
    std::atomic<int> serial{0};
    std::atomic<int> served{0};
    const long long firstMs = nowMs();
    for (const auto &each : nodes) {
        for (int i = 0; i < 4; ++i) {
            clients.emplace_back([&, address = each->address] {
                const std::string id = "q-" + std::to_string(++serial);
                const long long sentMs = nowMs();
                const int status = request(address, node_ports::gate, "POST", "/close/1", id, 4000).status();
                served += status == 200 ? 1 : 0;
                record.line("request %s at node %s, sent %lld ms after the acknowledgement: status %d", id.c_str(), address.c_str(),
                            sentMs - acknowledgedMs, status);
            });
        }
    }
    for (auto &each : clients) {
        each.join();
    }
    int late = 0;
    for (const auto &run : leaving.runs()) {
        if (run.atMs > acknowledgedMs + drainMs) {
            ++late;
            record.line("target %s has run %s %lld ms after the acknowledgement of its draining", leaving.id.c_str(), run.id.c_str(),
                        run.atMs - acknowledgedMs);
        }
    }
    record.line("12 requests sent %lld ms after the acknowledgement or later, %d served; %d reached the draining target, drain_ms is %d",
                firstMs - acknowledgedMs, served.load(), late, drainMs);
    for (const auto &each : nodes) {
        int status = 0;
        if (each->hasEnded(status)) {
            record.line("node %s has ended", each->address.c_str());
            return notRun;
        }
    }
    return late > 0 ? broken : held;
}
