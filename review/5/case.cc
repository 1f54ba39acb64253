// A configuration adds a route whose prefix is "/api/". The node answers GET /api/readiness itself on the clients' address, so that a
// client of that route gets an empty success instead of its server's answer.
#include "harness.h"

using namespace review;

int main(int argc, char **argv)
{
    begin(argc, argv);
    const std::string network = freeNetwork();
    const temporary_folder folder;
    store metadata;
    if (network.empty() || !metadata.start(network + "250")) {
        finish(couldNotRun);
    }
    backend server("i-1", network + "100", "wilgoc", "lodz-a", 8);
    const bool isStarted = server.start([](backend &self, int fd, const message &request) {
        self.countRun(request);
        sleepMs(30);
        sendAll(fd, self.answer(request, "reading of " + request.target()));
    });
    if (!isStarted) {
        finish(couldNotRun);
    }
    metadata.put("servers/" + server.id, server.registration());
    const std::string first = routeText("moisture", "/moisture/", "safe", "wilgoc", 3000);
    metadata.put("op/config", configText(7, {first}, {"wilgoc"}));
    int foreign = 0;
    {
        node machine("frontend-1", network + "1", "lodz-a", folder.path);
        settings how;
        how.seeds = {network + "1"};
        if (!machine.start(network + "250", how) || !machine.awaitReady(10000)) {
            finish(couldNotRun);
        }
        sleepMs(3500);
        // Without the disruption the added route has a prefix that no call of the platform begins with.
        const std::string prefix = hasTrouble() ? "/api/" : "/tray/";
        metadata.put("op/config", configText(11, {first, routeText("added", prefix, "safe", "wilgoc", 3000)}, {"wilgoc"}));
        record.line("the store acknowledges version 11, which adds the route %s", prefix.c_str());
        sleepMs(2500); // More than configuration_apply_ms.
        const int fd = connectTo(machine.address, gatePort);
        message_reader reader(fd);
        int number = 0;
        for (const std::string &path : {prefix + "trays", prefix + "readiness", prefix + "readiness?tray=7", std::string("/moisture/1")}) {
            const std::string id = "moisture-" + std::to_string(++number);
            message answer;
            sendAll(fd, requestText("GET", path, id, 3000, ""));
            const read_end end = reader.read(answer, 4000);
            const bool isSuccess = end == read_end::complete && answer.status() >= 200 && answer.status() < 300;
            const bool isServersAnswer
                = answer.field("Flamingofield-Response-Seal") == server.seal() && answer.body == "reading of " + path;
            foreign += isSuccess && !isServersAnswer ? 1 : 0;
            record.line("client: GET %s (%s): %s, status %d, seal \"%s\", body \"%s\"; runs: %d", path.c_str(), id.c_str(), describe(end),
                        answer.status(), answer.field("Flamingofield-Response-Seal").c_str(), answer.body.c_str(), server.runsOf(id));
        }
        ::close(fd);
    }
    record.line("%d successes without the server's seal and body", foreign);
    finish(foreign > 0 ? ruleBroken : ruleHeld);
}
