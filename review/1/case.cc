// An unsafe request that a full server turned away is sent to that server again on the same kept connection. If the server repeats its
// first answer late there, the node takes the repeated "not executed" for the answer to the second send, which runs.
#include "harness.h"

#include <random>
#include <set>

using namespace review;

namespace {

constexpr int nodes = 6;
constexpr int services = 3;
constexpr int runSeconds = 100;
/// Times in which the servers are full with work of other machines: the last part of each period.
constexpr int fullPeriodMs = 800;
constexpr int fullMs = 100;
constexpr int workMs = 60;
/// Dose of garble, how "extra late", in the site file: share 0.6 of the servers, x 0.03 of their answers, for 5 s. Here one of the two
/// servers of each service repeats one answer in 34, for 5 s in each 8 s.
constexpr int repeatEvery = 34;
constexpr double troubleSeconds = 5.0;
constexpr double troublePeriodSeconds = 8.0;

bool isFullNow(int service)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - startedAt).count() + 270 * service;
    return ms % fullPeriodMs >= fullPeriodMs - fullMs;
}

bool isTroubleNow()
{
    const double now = secondsNow();
    return hasTrouble() && now - troublePeriodSeconds * static_cast<int>(now / troublePeriodSeconds) < troubleSeconds;
}

struct garbling_state
{
    std::mutex mutex;
    std::map<int, std::string> lateAnswers; ///< By connection: sent when the next answer is expected there.
    int answers = 0; ///< While in trouble.
    int repeated = 0;
};

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
    std::vector<std::unique_ptr<backend>> servers;
    std::vector<std::unique_ptr<garbling_state>> states;
    std::vector<std::string> routes;
    std::vector<std::string> serviceNames;
    std::mt19937 random(std::random_device{}());
    for (int s = 0; s < services; ++s) {
        const std::string service = "service-" + std::to_string(s);
        serviceNames.push_back(service);
        routes.push_back(routeText("close-" + std::to_string(s), "/close" + std::to_string(s) + "/", "unsafe", service, 4000));
        for (int k = 0; k < 2; ++k) {
            const int number = 2 * s + k;
            servers.push_back(
                std::make_unique<backend>("i-" + std::to_string(number), network + std::to_string(100 + number), service, "lodz-a", 8));
            states.push_back(std::make_unique<garbling_state>());
            states.back()->answers = static_cast<int>(random() % repeatEvery);
            garbling_state &state = *states.back();
            const bool isFaulty = k == 0;
            const bool isStarted = servers.back()->start([s, &state, isFaulty](backend &self, int fd, const message &request) {
                const std::string id = request.field(idField);
                std::string late;
                {
                    const std::lock_guard<std::mutex> lock(state.mutex);
                    late.swap(state.lateAnswers[fd]);
                }
                if (!late.empty()) {
                    record.line("server %s: sends its %s to %s again, late, where the answer to %s is due", self.id.c_str(),
                                late.substr(9, 3).c_str(), late.substr(late.find(idField) + 26, 11).c_str(), id.c_str());
                    sendAll(fd, late);
                }
                std::string answer;
                if (isFullNow(s)) {
                    answer = self.notExecuted(request);
                } else {
                    const int run = self.countRun(request);
                    if (run > 1) {
                        record.line("server %s: runs %s again (run %d)", self.id.c_str(), id.c_str(), run);
                    }
                    sleepMs(workMs);
                    answer = self.answer(request, "closed by " + self.id);
                }
                if (isFaulty && isTroubleNow()) {
                    const std::lock_guard<std::mutex> lock(state.mutex);
                    if (++state.answers % repeatEvery == 0) {
                        state.lateAnswers[fd] = answer;
                        ++state.repeated;
                    }
                }
                sendAll(fd, answer);
            });
            if (!isStarted) {
                finish(couldNotRun);
            }
            metadata.put("servers/" + servers.back()->id, servers.back()->registration());
        }
    }
    metadata.put("op/config", configText(7, routes, serviceNames));

    int refusedAfterRun = 0;
    int runTwice = 0;
    {
        std::vector<std::unique_ptr<node>> fleet;
        settings how;
        how.seeds = {network + "1", network + "2"};
        for (int n = 0; n < nodes; ++n) {
            fleet.push_back(
                std::make_unique<node>("frontend-" + std::to_string(n + 1), network + std::to_string(n + 1), "lodz-a", folder.path));
            if (!fleet.back()->start(network + "250", how)) {
                finish(couldNotRun);
            }
        }
        for (const auto &each : fleet) {
            if (!each->awaitReady(10000)) {
                record.line("%s is not ready", each->name.c_str());
                fleet.clear();
                finish(couldNotRun);
            }
        }
        std::mutex mutex;
        std::map<std::string, int> statuses;
        std::vector<std::thread> clients;
        for (int n = 0; n < nodes; ++n) {
            for (int s = 0; s < services; ++s) {
                clients.emplace_back([&, n, s] {
                    int fd = -1;
                    std::unique_ptr<message_reader> reader;
                    for (int i = 0; secondsNow() < runSeconds; ++i) {
                        char id[32];
                        std::snprintf(id, sizeof id, "%x%x-%08x", n + 1, s, i);
                        if (fd < 0) {
                            fd = connectTo(fleet[static_cast<std::size_t>(n)]->address, gatePort);
                            reader = std::make_unique<message_reader>(fd);
                        }
                        message answer;
                        const bool isSent = fd >= 0
                            && sendAll(fd, requestText("POST", "/close" + std::to_string(s) + "/" + std::to_string(i), id, 4000, "lot"));
                        if (!isSent || reader->read(answer, 6000) != read_end::complete || answer.field("Connection") == "close") {
                            ::close(fd);
                            fd = -1;
                        }
                        {
                            const std::lock_guard<std::mutex> lock(mutex);
                            statuses[id] = answer.status();
                        }
                        sleepMs(20);
                    }
                });
            }
        }
        for (auto &client : clients) {
            client.join();
        }
        sleepMs(500);
        std::map<int, int> counts;
        for (const auto &[id, status] : statuses) {
            ++counts[status];
            int runs = 0;
            for (const auto &server : servers) {
                runs += server->runsOf(id);
            }
            const bool isPromise = status == 429 || status == 503 || status == 408 || status == 421;
            if (runs > 1) {
                ++runTwice;
                record.line("TWICE: %s ran %d times, the client got %d", id.c_str(), runs, status);
            }
            if (runs > 0 && isPromise) {
                ++refusedAfterRun;
                record.line("REFUSED: %s ran %d times, the client got %d", id.c_str(), runs, status);
            }
        }
        for (const auto &[status, count] : counts) {
            record.line("%d answers with status %d", count, status);
        }
        int repeated = 0;
        for (const auto &state : states) {
            repeated += state->repeated;
        }
        record.line("%d answers repeated late; %d requests ran twice, %d were refused although they ran", repeated, runTwice,
                    refusedAfterRun);
    }
    finish(runTwice + refusedAfterRun > 0 ? ruleBroken : ruleHeld);
}
