#include "caller.hpp"
#include "report/latency_histogram.hpp"
#include "suites.hpp"

#include <cstdio>
#include <sstream>
#include <thread>

namespace bench {

namespace {

constexpr flamingofield::milliseconds requestInterval{10};

struct request_kind
{
    const char *rank;
    const char *service;
    const char *method;
    const char *path;
};

constexpr request_kind requestKinds[] = {{"dryer", "wilgoc", "GET", "/wilgoc/readings/"},
                                         {"supervisor", "wilgoc", "GET", "/wilgoc/trend/"},
                                         {"quality", "odbior", "GET", "/odbior/batches/"},
                                         {"dryer", "partia", "POST", "/partia/batches/"}};

struct outcome_counts
{
    int done = 0;
    int notRun = 0;
    int unknown = 0;
    flamingofield::latency_histogram latency;
};

std::string requestTargetOf(const request_kind &kind, int number)
{
    const std::string id = std::to_string(number);
    const std::string service = kind.service;
    return kind.path + id + (service == "odbior" ? "/history" : service == "partia" ? "/closure" : "");
}

void sendRequests(standins::caller &client, const request_kind &kind, int seconds, outcome_counts &count)
{
    const auto until = std::chrono::steady_clock::now() + flamingofield::seconds(seconds);
    for (int i = 0; std::chrono::steady_clock::now() < until; ++i) {
        standins::caller_request request;
        request.method = kind.method;
        request.target = requestTargetOf(kind, i);
        if (request.method == "POST") {
            const auto nodes = client.addresses(kind.service);
            request.key = nodes.empty() ? "" : client.newKey(nodes.front());
        }
        const auto answer = client.send(kind.service, request);
        (answer.outcome == "done" ? count.done : answer.outcome == "not run" ? count.notRun : count.unknown) += 1;
        count.latency.add(answer.latency);
        std::this_thread::sleep_for(requestInterval);
    }
}

} // namespace

int runDemo(const bench_arguments &arguments)
{
    std::vector<flamingofield::endpoint> entries;
    std::istringstream list(arguments.entries);
    std::string item;
    while (std::getline(list, item, ',')) {
        const auto entry = flamingofield::parseEndpoint(item);
        if (!entry) {
            std::fprintf(stderr, "flamingo-bench: --entries: %s\n", describe(entry.error()).c_str());
            return 2;
        }
        entries.push_back(entry.value());
    }
    standins::caller client(entries);
    std::vector<outcome_counts> counts(std::size(requestKinds));
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::size(requestKinds); ++i) {
        threads.emplace_back([&, i] { sendRequests(client, requestKinds[i], arguments.seconds, counts[i]); });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    std::printf("%-11s %-8s %-5s %6s %8s %8s %8s %8s\n", "rank", "service", "", "done", "not run", "unknown", "p50 ms", "p99 ms");
    for (std::size_t i = 0; i < std::size(requestKinds); ++i) {
        const outcome_counts &counted = counts[i];
        std::printf("%-11s %-8s %-5s %6d %8d %8d %8.1f %8.1f\n", requestKinds[i].rank, requestKinds[i].service, requestKinds[i].method,
                    counted.done, counted.notRun, counted.unknown, counted.latency.quantileMs(0.5), counted.latency.quantileMs(0.99));
    }
    return 0;
}

} // namespace bench
