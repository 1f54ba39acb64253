#include "caller.hpp"
#include "config/route_table.hpp"
#include "control/service_table.hpp"
#include "fleet/membership.hpp"
#include "suites.hpp"
#include "test_deployment.hpp"

#include <algorithm>
#include <malloc.h>
#include <thread>
#include <unistd.h>

namespace bench {

using flamingofield::instant;
using flamingofield::milliseconds;
using flamingofield::seconds;

namespace {

constexpr double cpuBudgetPercent = 4.0;
constexpr double memoryBudgetMb = 32.0;
constexpr double bytesBudgetPerSecond = 3000.0;
constexpr double headerBytesPerMessage = 80.0; // TCP, IP and nng headers and the acknowledgement.
constexpr double megabyte = 1024.0 * 1024.0;
constexpr int fleetNodes = 4900;

void measureFleet(suite_result &result, int nodes, const bench_arguments &arguments)
{
    standins::deployment_plan plan;
    plan.services = {{"wilgoc", 7, 4, 16, "sequential"}, {"partia", 14, 4, 32, "sequential"}, {"odbior", 12, 4, 28, "sequential"}};
    plan.nodes = nodes;
    plan.seed = arguments.seed;
    standins::test_deployment deployment(plan);
    if (!deployment.start()) {
        return;
    }
    std::this_thread::sleep_for(seconds(3));
    std::vector<double> cpuBefore;
    const double bytesBefore = static_cast<double>(deployment.counterSum("peer_bytes_sent_total"));
    const double messagesBefore = static_cast<double>(deployment.counterSum("peer_messages_sent_total"));
    const double readsBefore = static_cast<double>(deployment.platformStandin().reads());
    for (const auto &node : deployment.nodes()) {
        cpuBefore.push_back(standins::processUsage(node.process.pid()).cpuSeconds);
    }
    const auto startedAt = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(seconds(arguments.seconds));
    double cpu = 0.0;
    double resident = 0.0;
    const double elapsed = flamingofield::toSeconds(std::chrono::steady_clock::now() - startedAt);
    for (std::size_t i = 0; i < cpuBefore.size(); ++i) {
        const auto usage = standins::processUsage(deployment.nodes()[i].process.pid());
        cpu += usage.cpuSeconds - cpuBefore[i];
        resident = std::max(resident, static_cast<double>(usage.residentBytes));
    }
    const double messageRate = (static_cast<double>(deployment.counterSum("peer_messages_sent_total")) - messagesBefore) / elapsed / nodes;
    const double payloadRate = (static_cast<double>(deployment.counterSum("peer_bytes_sent_total")) - bytesBefore) / elapsed / nodes;
    const double readRate = (static_cast<double>(deployment.platformStandin().reads()) - readsBefore) / elapsed;
    const std::string name = std::to_string(nodes) + " nodes: ";
    result.rows.push_back({name + "processor of a node", "idle callers", 100.0 * cpu / elapsed / nodes, "% of a core", cpuBudgetPercent});
    result.rows.push_back({name + "resident memory, largest", "idle callers", resident / megabyte, "MB", memoryBudgetMb});
    result.rows.push_back({name + "messages sent by a node", "idle callers", messageRate, "1/s", {}});
    result.rows.push_back({name + "bytes sent by a node, headers reckoned", "idle callers",
                           payloadRate + messageRate * headerBytesPerMessage, "B/s", bytesBudgetPerSecond});
    result.rows.push_back({name + "store reads of the fleet", "idle callers", readRate, "1/s", 2000.0});
}

double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd); // Blocks from the heap and memory-mapped blocks.
}

flamingofield::operator_config makeConfig(int services, int targetsPerService, int routesPerService)
{
    flamingofield::operator_config config;
    config.version = 1;
    config.ranks.resize(3);
    for (int s = 0; s < services; ++s) {
        flamingofield::service_spec service;
        service.name = "service-" + std::to_string(s);
        for (int t = 0; t < targetsPerService; ++t) {
            flamingofield::target_spec target;
            target.address = {"10." + std::to_string(s / 250) + "." + std::to_string(s % 250) + "." + std::to_string(t + 1), 7000};
            target.dataCentre = "dc-1";
            target.slots = 4;
            service.targets.push_back(target);
        }
        config.services.push_back(service);
        for (int r = 0; r < routesPerService; ++r) {
            config.routes.push_back(
                {"GET", "/service-" + std::to_string(s) + "/kind-" + std::to_string(r) + "/{id}", service.name, "urgent", true});
        }
    }
    return config;
}

/// Measures the memory and processor time of the tables for a number of services in this process.
void measureTables(suite_result &result, const std::string &name, int services, int targets, int routes, bool isFullSize)
{
    const double start = heapBytes();
    const auto config = std::make_unique<flamingofield::operator_config>(makeConfig(services, targets, routes));
    const double afterConfig = heapBytes();
    const auto routeTable = std::make_unique<flamingofield::route_table>(config->routes);
    const double afterRoutes = heapBytes();
    flamingofield::service_table serviceTable;
    const instant now = std::chrono::steady_clock::now();
    serviceTable.applyConfig(*config, now);
    const double afterServices = heapBytes();
    const auto startedAt = std::chrono::steady_clock::now();
    constexpr int ticks = 20;
    for (int i = 0; i < ticks; ++i) {
        serviceTable.detectOutliers(now + milliseconds(50) * i);
    }
    const double perTick = flamingofield::toSeconds(std::chrono::steady_clock::now() - startedAt) / ticks;
    const std::string policy = isFullSize ? "whole text" : "partial";
    result.rows.push_back({name + ": text", policy, (afterConfig - start) / megabyte, "MB", {}});
    result.rows.push_back({name + ": routes", policy, (afterRoutes - afterConfig) / megabyte, "MB", {}});
    result.rows.push_back({name + ": judges, gates, quotas", policy, (afterServices - afterRoutes) / megabyte, "MB", {}});
    result.rows.push_back({name + ": judging, 20 ticks a second", policy, 100.0 * perTick * 20.0, "% of a core", {}});
}

void measureMembership(suite_result &result)
{
    const double start = heapBytes();
    flamingofield::node_info self;
    self.incarnation = 1;
    self.peerAddress = {"10.0.0.1", 8081};
    flamingofield::membership members(self, {}, 1);
    instant now = std::chrono::steady_clock::now();
    for (int i = 0; i < fleetNodes; ++i) {
        flamingofield::node_record record;
        record.info.incarnation = 1000 + static_cast<std::uint64_t>(i);
        record.info.peerAddress = {"10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1), 8081};
        record.info.gateAddress = {record.info.peerAddress.host, 8080};
        record.info.adminAddress = {record.info.peerAddress.host, 8082};
        record.info.dataCentre = "dc-" + std::to_string(i % 8);
        members.mergeRecord(record, now);
    }
    const double bytes = heapBytes() - start;
    const auto startedAt = std::chrono::steady_clock::now();
    constexpr int ticks = 40;
    for (int i = 0; i < ticks; ++i) {
        now += milliseconds(50);
        members.tick(now);
    }
    const double perTick = flamingofield::toSeconds(std::chrono::steady_clock::now() - startedAt) / ticks;
    result.rows.push_back({"membership of 4,900: memory", "one process", bytes / megabyte, "MB", {}});
    result.rows.push_back({"membership of 4,900: 20 ticks a second", "one process", 100.0 * perTick * 20.0, "% of a core", {}});
}

} // namespace

suite_result measureCost(const bench_arguments &arguments)
{
    suite_result result{"cost", arguments.seed, {}};
    measureMembership(result);
    measureTables(result, "4,100 services, 36 targets, 18 routes", 4100, 36, 18, true);
    measureTables(result, "1,000 services, 36 targets, 18 routes", 1000, 36, 18, true);
    measureTables(result, "20 services, 36 targets, 18 routes", 20, 36, 18, false);
    for (const int nodes : {8, 16, 32, 64}) {
        measureFleet(result, nodes, arguments);
    }
    return result;
}

suite_result measureSpread(const bench_arguments &arguments)
{
    suite_result result{"spread", arguments.seed, {}};
    for (const int nodes : {8, 16, 32}) {
        standins::deployment_plan plan;
        plan.nodes = nodes;
        plan.seed = arguments.seed;
        standins::test_deployment deployment(plan);
        if (!deployment.start()) {
            continue;
        }
        std::this_thread::sleep_for(seconds(4));
        std::vector<double> times;
        for (std::uint64_t version = 2; version < 12; ++version) {
            const auto publishedAt = std::chrono::steady_clock::now();
            deployment.platformStandin().publish(deployment.configuration(version));
            std::vector<bool> hasVersion(static_cast<std::size_t>(nodes), false);
            standins::awaitTrue(
                [&] {
                    for (std::size_t i = 0; i < hasVersion.size(); ++i) {
                        if (!hasVersion[i] && deployment.versionAt(i) >= version) {
                            hasVersion[i] = true;
                            times.push_back(flamingofield::toSeconds(std::chrono::steady_clock::now() - publishedAt));
                        }
                    }
                    return std::all_of(hasVersion.begin(), hasVersion.end(), [](bool h) { return h; });
                },
                seconds(10));
        }
        std::sort(times.begin(), times.end());
        const std::string name = std::to_string(nodes) + " nodes, 10 texts: ";
        const bool isComplete = times.size() == static_cast<std::size_t>(nodes) * 10;
        result.rows.push_back({name + "in force, 99 in 100", "gossip", isComplete ? times[times.size() * 99 / 100] : -1.0, "s", 3.0});
        result.rows.push_back({name + "in force, last", "gossip", isComplete ? times.back() : -1.0, "s", 6.0});
    }
    return result;
}

} // namespace bench
