#include "caller.hpp"
#include "connection_burst.hpp"
#include "suites.hpp"
#include "test_deployment.hpp"

#include <algorithm>
#include <mutex>
#include <thread>

namespace bench {

using flamingofield::backend_client;
using flamingofield::backend_request;
using flamingofield::endpoint;
using flamingofield::milliseconds;

namespace {

constexpr double addedP99TargetMs = 2.2;
constexpr int requestsPerSecond = 300; // To one node, over all callers.
constexpr int minSamples = 200;

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0.0;
    }
    const auto at = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<long>(at), values.end());
    return values[at];
}

struct load
{
    endpoint to;
    int callers = 1;
    bool isFresh = false;
    int seconds = 5;
};

/// Sends requests at a fixed rate and returns the latencies, in milliseconds, of those answered with status 200.
std::vector<double> measure(const load &l)
{
    std::vector<double> allLatencies;
    std::mutex mutex;
    std::vector<std::thread> threads;
    const auto start = std::chrono::steady_clock::now();
    const auto period = std::chrono::duration_cast<flamingofield::duration>(
        std::chrono::duration<double>(static_cast<double>(l.callers) / requestsPerSecond));
    for (int c = 0; c < l.callers; ++c) {
        threads.emplace_back([&, c] {
            backend_client client({});
            std::vector<double> latencies;
            auto next = start + period * c / l.callers;
            const auto until = start + flamingofield::seconds(l.seconds);
            while (next < until) {
                std::this_thread::sleep_until(next);
                backend_request request;
                request.method = "GET";
                request.target = "/wilgoc/read/" + std::to_string(c);
                const auto sentAt = std::chrono::steady_clock::now();
                request.deadline = sentAt + milliseconds(2000);
                request.requiresNewConnection = l.isFresh;
                const auto result = client.send(l.to, request);
                const auto *answer = std::get_if<flamingofield::backend_answer>(&result);
                if (answer != nullptr && answer->status == 200) {
                    latencies.push_back(flamingofield::toSeconds(std::chrono::steady_clock::now() - sentAt) * 1000.0);
                }
                next += period;
            }
            const std::lock_guard lock(mutex);
            allLatencies.insert(allLatencies.end(), latencies.begin(), latencies.end());
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    return allLatencies;
}

void addRows(suite_result &result, const load &l, const std::vector<double> &direct, const std::vector<double> &proxied)
{
    const std::string name = std::to_string(l.callers) + " callers, " + (l.isFresh ? "fresh" : "kept-alive");
    const auto expected = static_cast<double>(requestsPerSecond * l.seconds);
    result.rows.push_back({name + ", answered", "direct", 100.0 * static_cast<double>(direct.size()) / expected, "%", {}});
    result.rows.push_back({name + ", answered", "proxy", 100.0 * static_cast<double>(proxied.size()) / expected, "%", {}});
    if (static_cast<int>(std::min(direct.size(), proxied.size())) < minSamples) {
        return;
    }
    for (const double share : {0.5, 0.99, 0.999}) {
        const double added = quantile(proxied, share) - quantile(direct, share);
        char label[32];
        std::snprintf(label, sizeof label, ", added at p%g", share * 100.0);
        const std::optional<double> target = share == 0.99 ? std::optional<double>(addedP99TargetMs) : std::nullopt;
        result.rows.push_back({name + label, "proxy", added, "ms", target});
    }
}

/// Time until the last of many connections, opened at once to a node, is established.
void addBurstRow(suite_result &result, const endpoint &gate)
{
    constexpr std::size_t burst = 400;
    const auto times = standins::openConnectionBurst(gate, burst, milliseconds(5000));
    const double last = times.empty() ? 0.0 : flamingofield::toSeconds(times.back()) * 1000.0;
    const std::string name = "burst of " + std::to_string(burst) + " fresh connections, ";
    result.rows.push_back({name + "established", "proxy", 100.0 * static_cast<double>(times.size()) / burst, "%", 100.0});
    result.rows.push_back({name + "last established after", "proxy", last, "ms", {}});
}

} // namespace

suite_result measurePath(const bench_arguments &arguments)
{
    suite_result result{"path", arguments.seed, {}};
    standins::deployment_plan plan;
    plan.services = {{"wilgoc", 7, 4, 16, "sequential"}};
    plan.nodes = 3;
    plan.seed = arguments.seed;
    standins::test_deployment deployment(plan);
    if (!deployment.start()) {
        return result;
    }
    for (auto &target : deployment.targets()) {
        standins::backend_behaviour behaviour;
        behaviour.serviceTime = milliseconds(2);
        target.server->setBehaviour(behaviour);
    }
    for (const int callers : {1, 32, 128}) {
        for (const bool isFresh : {false, true}) {
            load l{deployment.targets().front().address, callers, isFresh, arguments.seconds};
            const auto direct = measure(l);
            l.to = deployment.nodes().front().gate;
            addRows(result, l, direct, measure(l));
        }
    }
    addBurstRow(result, deployment.nodes().front().gate);
    return result;
}

} // namespace bench
