#include "caller.hpp"
#include "report/latency_histogram.hpp"
#include "suites.hpp"

#include <cstdio>
#include <sstream>
#include <thread>

namespace bench {

namespace {

constexpr flamingofield::milliseconds pace{10};

struct demo_kind
{
    const char *rank;
    const char *service;
    const char *method;
    const char *path;
};

constexpr demo_kind kinds[] = {{"dryer", "wilgoc", "GET", "/wilgoc/readings/"},
                               {"supervisor", "wilgoc", "GET", "/wilgoc/trend/"},
                               {"quality", "odbior", "GET", "/odbior/batches/"},
                               {"dryer", "partia", "POST", "/partia/batches/"}};

struct demo_count
{
    int done = 0;
    int notRun = 0;
    int unknown = 0;
    flamingofield::latency_histogram latency;
};

std::string targetOf(const demo_kind &kind, int number)
{
    const std::string id = std::to_string(number);
    const std::string service = kind.service;
    return kind.path + id + (service == "odbior" ? "/history" : service == "partia" ? "/closure" : "");
}

void callAll(standins::caller &client, const demo_kind &kind, int seconds, demo_count &count)
{
    const auto until = std::chrono::steady_clock::now() + flamingofield::seconds(seconds);
    for (int i = 0; std::chrono::steady_clock::now() < until; ++i) {
        standins::call request;
        request.method = kind.method;
        request.target = targetOf(kind, i);
        if (request.method == "POST") {
            const auto nodes = client.addresses(kind.service);
            request.key = nodes.empty() ? "" : client.newKey(nodes.front());
        }
        const auto got = client.send(kind.service, request);
        (got.outcome == "done" ? count.done : got.outcome == "not run" ? count.notRun : count.unknown) += 1;
        count.latency.add(got.latency);
        std::this_thread::sleep_for(pace);
    }
}

} // namespace

int runDemo(const bench_arguments &arguments)
{
    std::vector<flamingofield::endpoint> entries;
    std::istringstream list(arguments.entries);
    std::string word;
    while (std::getline(list, word, ',')) {
        const auto entry = flamingofield::parseEndpoint(word);
        if (!entry) {
            std::fprintf(stderr, "flamingo-bench: --entries: %s\n", describe(entry.error()).c_str());
            return 2;
        }
        entries.push_back(entry.value());
    }
    standins::caller client(entries);
    std::vector<demo_count> counts(std::size(kinds));
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::size(kinds); ++i) {
        threads.emplace_back([&, i] { callAll(client, kinds[i], arguments.seconds, counts[i]); });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    std::printf("%-11s %-8s %-5s %6s %8s %8s %8s %8s\n", "rank", "service", "", "done", "not run", "unknown", "p50 ms", "p99 ms");
    for (std::size_t i = 0; i < std::size(kinds); ++i) {
        const demo_count &c = counts[i];
        std::printf("%-11s %-8s %-5s %6d %8d %8d %8.1f %8.1f\n", kinds[i].rank, kinds[i].service, kinds[i].method, c.done, c.notRun,
                    c.unknown, c.latency.quantileMs(0.5), c.latency.quantileMs(0.99));
    }
    return 0;
}

} // namespace bench
