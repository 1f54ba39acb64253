// A server in trouble answers with a chunked body whose chunk header never ends. The node collects it without a bound until the
// request's time is over, passes the memory limit of its machine, and is killed with all requests that it has in hand.
#include "harness.h"

using namespace review;

namespace {

constexpr double memoryLimitMb = 260.0; ///< self.limits.memory_mb of the site's machines.
constexpr int endlessBytesPerSecond = 100 << 20; ///< Less than the machine's link of 1,000 Mbit/s.
constexpr int callers = 6;

} // namespace

int main(int argc, char **argv)
{
    begin(argc, argv);
    const std::string network = freeNetwork();
    const temporary_folder folder;
    store metadata;
    if (network.empty() || !metadata.start(network + "250")) {
        finish(couldNotRun);
    }
    std::atomic<long long> endlessBytes{0};
    std::atomic<bool> isTroubled{false};
    backend sound("i-sound", network + "100", "partia", "lodz-a", 8);
    backend troubled("i-troubled", network + "101", "odbior", "lodz-a", 4);
    const auto serveSoundly = [](backend &self, int fd, const message &request) {
        self.countRun(request);
        sleepMs(300);
        sendAll(fd, self.answer(request, "closed by " + self.id));
    };
    const bool isStarted = sound.start(serveSoundly) && troubled.start([&](backend &self, int fd, const message &request) {
        if (!isTroubled) {
            self.countRun(request);
            sendAll(fd, self.answer(request, "history"));
            return;
        }
        record.line("server %s: answers %s with a chunk header without end", self.id.c_str(), request.field(idField).c_str());
        sendAll(fd,
                "HTTP/1.1 200 OK\r\n" + std::string(idField) + ": " + request.field(idField)
                    + "\r\nFlamingofield-Response-Seal: " + self.seal() + "\r\nTransfer-Encoding: chunked\r\n\r\n5;");
        const std::string piece(endlessBytesPerSecond / 200, 'x');
        const double begun = secondsNow();
        for (long long sent = 0;; sent += static_cast<long long>(piece.size())) {
            while (static_cast<double>(sent) > (secondsNow() - begun) * endlessBytesPerSecond) {
                sleepMs(2);
            }
            if (!sendAll(fd, piece)) {
                break;
            }
            endlessBytes += static_cast<long long>(piece.size());
        }
        record.line("server %s: the node closed the connection", self.id.c_str());
        ::shutdown(fd, SHUT_RDWR);
    });
    if (!isStarted) {
        finish(couldNotRun);
    }
    for (const backend *each : {&sound, &troubled}) {
        metadata.put("servers/" + each->id, each->registration());
    }
    metadata.put(
        "op/config",
        configText(7, {routeText("close", "/close/", "unsafe", "partia", 4000), routeText("history", "/history/", "safe", "odbior", 8000)},
                   {"partia", "odbior"}));
    int lost = 0;
    bool isKilled = false;
    double peakMb = 0.0;
    {
        node machine("frontend-1", network + "1", "lodz-a", folder.path);
        settings how;
        how.seeds = {network + "1"};
        if (!machine.start(network + "250", how) || !machine.awaitReady(10000)) {
            finish(couldNotRun);
        }
        std::atomic<bool> isDone{false};
        std::mutex mutex;
        // The platform's part: a process over its memory is killed.
        std::thread platform([&] {
            while (!isDone) {
                const double mb = machine.residentMb();
                peakMb = std::max(peakMb, mb);
                if (mb > memoryLimitMb && !isKilled) {
                    isKilled = true;
                    record.line("frontend-1 takes %.0f MB of %.0f MB: killed", mb, memoryLimitMb);
                    machine.kill(SIGKILL);
                }
                sleepMs(5);
            }
        });
        std::vector<std::thread> clients;
        for (int c = 0; c < callers; ++c) {
            clients.emplace_back([&, c] {
                const int fd = connectTo(machine.address, gatePort);
                message_reader reader(fd);
                for (int i = 0; !isDone; ++i) {
                    const std::string id = "close-" + std::to_string(c) + "-" + std::to_string(i);
                    if (!sendAll(fd, requestText("POST", "/close/" + std::to_string(i), id, 4000, "lot"))) {
                        break;
                    }
                    message answer;
                    const read_end end = reader.read(answer, 6000);
                    if (end != read_end::complete) {
                        const std::lock_guard<std::mutex> lock(mutex);
                        const bool hasRun = sound.runsOf(id) > 0;
                        lost += hasRun ? 1 : 0;
                        record.line("client %d: %s %s by the node without an answer; it %s at %s", c, id.c_str(), describe(end),
                                    hasRun ? "ran" : "did not run", sound.id.c_str());
                        break;
                    }
                }
                ::close(fd);
            });
        }
        sleepMs(4000); // In touch: calm for stable_window_ms.
        isTroubled = hasTrouble();
        const int fd = connectTo(machine.address, gatePort);
        message_reader reader(fd);
        for (int i = 0; i < 3 && !isKilled; ++i) {
            const std::string id = "history-" + std::to_string(i);
            message answer;
            sendAll(fd, requestText("GET", "/history/" + std::to_string(i), id, 8000, ""));
            const read_end end = reader.read(answer, 10000);
            record.line("client: %s %s, status %d; the node's peak is %.0f MB", id.c_str(), describe(end), answer.status(), peakMb);
        }
        sleepMs(500);
        isDone = true;
        for (auto &client : clients) {
            client.join();
        }
        platform.join();
    }
    record.line("peak %.0f MB, %lld MB sent without end, killed for its memory: %s, requests lost at a sound server: %d", peakMb,
                endlessBytes.load() >> 20, isKilled ? "yes" : "no", lost);
    finish(lost > 3 ? ruleBroken : ruleHeld);
}
