/// The store comes back from a copy some seconds old; a configuration that is sent afterwards is to be in force on all machines.
#include "../common-3/harness.h"

using namespace review;

namespace {

constexpr int applyMs = 2000;
constexpr int stableMs = 3000;

/// Routes of a version. From the last version on, "moved" belongs to another service and "dropped" is gone.
std::string versionText(int version, int addedRoutes, bool isLast)
{
    std::vector<route> routes{{"kept", "/kept/", "safe", "alpha"}, {"moved", "/moved/", "unsafe", isLast ? "beta" : "alpha"}};
    if (!isLast) {
        routes.push_back({"dropped", "/dropped/", "unsafe", "alpha"});
    }
    for (int i = 0; i < addedRoutes; ++i) {
        routes.push_back({"added-" + std::to_string(i), "/added-" + std::to_string(i) + "/", "safe", "beta"});
    }
    return configText(version, routes, {"alpha", "beta"});
}

struct sent_request
{
    std::string id;
    long long atMs = 0;
    std::string node;
    int status = 0;
};

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
            std::make_unique<target>("i-" + std::to_string(i), i < 2 || i == 4 ? "alpha" : "beta", i % 2 == 0 ? "zone-a" : "zone-b", 4));
        if (!targets.back()->start(network + std::to_string(100 + i), 8080)) {
            return notRun;
        }
        if (i >= 4) {
            joining.push_back(targets.back().get());
        } else {
            platformStore.put("servers/" + targets.back()->id, targets.back()->registration(false));
        }
    }
    platformStore.put("op/config", versionText(7, 0, false));

    std::vector<std::unique_ptr<node>> nodes;
    for (int i = 0; i < 3; ++i) {
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
    record.line("three nodes are ready with version 7 at revision %llu", static_cast<unsigned long long>(platformStore.revision()));
    sleepMs(4000);

    store_drill::run(platformStore, joining, versionText(8, 1, false));
    sleepMs(2 * stableMs);

    const auto revision = platformStore.put("op/config", versionText(9, 1, true));
    const long long acknowledgedMs = nowMs();
    record.line("the operator sends version 9 (moved: to beta, dropped: gone), acknowledged at revision %llu",
                static_cast<unsigned long long>(revision));
    sleepMs(applyMs + 100);

    std::vector<sent_request> sent;
    int serial = 0;
    int wrongAnswers = 0;
    while (nowMs() < acknowledgedMs + 12000) {
        for (const auto &each : nodes) {
            for (const char *prefix : {"/moved/", "/dropped/", "/kept/"}) {
                sent_request request{"q-" + std::to_string(++serial), nowMs(), each->address, 0};
                const bool isKept = std::string(prefix) == "/kept/";
                request.status
                    = review::request(each->address, node_ports::gate, isKept ? "GET" : "POST", prefix + std::string("1"), request.id, 3000)
                          .status();
                const int expected = std::string(prefix) == "/dropped/" ? 404 : 200;
                wrongAnswers += request.status == expected ? 0 : 1;
                record.line("request %s %s at node %s, %lld ms after the acknowledgement: status %d", request.id.c_str(), prefix,
                            request.node.c_str(), request.atMs - acknowledgedMs, request.status);
                sent.push_back(request);
            }
        }
        sleepMs(500);
    }
    int stale = 0;
    for (const auto &each : targets) {
        for (const auto &run : each->runs()) {
            const bool isStale = run.path.rfind("/dropped/", 0) == 0 || (run.path.rfind("/moved/", 0) == 0 && run.service == "alpha");
            if (isStale) {
                ++stale;
                record.line("target %s of %s has run %s %s", each->id.c_str(), run.service.c_str(), run.id.c_str(), run.path.c_str());
            }
        }
    }
    record.line("%zu requests sent later than %d ms after the acknowledgement; %d run as only an older version allows, %d answers not as "
                "version 9 says",
                sent.size(), applyMs, stale, wrongAnswers);
    for (const auto &each : nodes) {
        int status = 0;
        if (each->hasEnded(status)) {
            record.line("node %s has ended", each->address.c_str());
            return notRun;
        }
    }
    return stale > 0 ? broken : held;
}
