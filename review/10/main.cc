// A backend server fails part of its requests after it has begun to work on them, and answers 503 without the header that states that a
// request has not run. Towards a client, 503 is that statement; so the node must not pass it on for a request that may have run.
#include "../common-2/harness.h"

using namespace review;

namespace {

constexpr int requestCount = 3000;
constexpr int clientCount = 8;
constexpr int serverCount = 8; ///< One of them is grey, a share of 0.125.
/// Requests of each ten at the grey server that fail.
constexpr int failuresOfTen = 4;

} // namespace

int main()
{
    record log("review/10/record.txt");
    const bool isTroubleOn = review::isTroubleOn();
    const std::string network = randomNetwork();
    temporary_folder folder;
    folder.files = {"entry-1.conf", "entry-1.log"};

    std::mutex mutex;
    std::map<std::string, int> runs;
    int arrivals = 0;
    store platformStore;
    std::vector<std::unique_ptr<backend>> servers;
    if (!platformStore.start(network + "250")) {
        return notRunExit;
    }
    for (int i = 0; i < serverCount; ++i) {
        servers.push_back(std::make_unique<backend>());
        backend &server = *servers.back();
        server.id = "i-" + std::to_string(i);
        server.service = "partia";
        const bool isGrey = isTroubleOn && i == 0;
        const auto serve = soundServer(server.id, [&, isGrey, serverId = server.id](const message &request) {
            const std::string id = request.field("flamingofield-request-id");
            bool fails = false;
            {
                const std::lock_guard<std::mutex> lock(mutex);
                ++runs[id];
                fails = isGrey && arrivals++ % 10 < failuresOfTen;
            }
            sleepMs(10);
            log.line("server %s ran %s and answers %d", serverId.c_str(), id.c_str(), fails ? 503 : 200);
            return fails ? backendAnswer(503, id, "failed") : backendAnswer(200, id, "done");
        });
        if (!server.start(network + std::to_string(100 + i), serve)) {
            return notRunExit;
        }
        server.registerAt(platformStore);
    }
    node entry;
    entry.name = "entry-1";
    entry.ip = network + "1";
    entry.directoryPath = folder.path;
    entry.choosePorts(freePort(entry.ip));
    entry.seeds = entry.control.text();
    platformStore.put("op/config", configText(7, "partia"));
    if (!entry.start(platformStore.at) || !entry.waitReady(10000)) {
        log.line("the entry node did not get ready");
        return notRunExit;
    }

    std::atomic<int> served{0};
    std::atomic<int> broken{0};
    std::vector<std::thread> clients;
    for (int client = 0; client < clientCount; ++client) {
        clients.emplace_back([&, client] {
            for (int i = client; i < requestCount; i += clientCount) {
                const std::string id = "close-" + std::to_string(i);
                const message answer = sendRequest(entry.gate, clientHead("POST", "/write/x", id, 4000, "Content-Length: 0\r\n"), 4500);
                const std::lock_guard<std::mutex> lock(mutex);
                const int ran = runs[id];
                served += answer.status() == 200 ? 1 : 0;
                if (answer.status() == 503 || answer.status() == 429) {
                    log.line("client got %d to %s, which ran %d times", answer.status(), id.c_str(), ran);
                    broken += ran > 0 ? 1 : 0;
                }
            }
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    log.line("%d requests of kind unsafe: %d served, %d answered 503 although they ran", requestCount, served.load(), broken.load());
    if (broken > 0) {
        return brokenExit;
    }
    return isTroubleOn || served == requestCount ? heldExit : notRunExit;
}
