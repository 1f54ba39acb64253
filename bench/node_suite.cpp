#include "balance/target_table.hpp"
#include "mesh/member_table.hpp"
#include "suites.hpp"

#include <functional>

namespace bench {

using namespace flamingofield;

namespace {

constexpr double microsecondsPerSecond = 1e6;
constexpr int slotsPerTarget = 4;
constexpr int servicesPerNode = 3;
/// Other nodes of a hub's data centre, and hubs of the other data centres.
constexpr std::size_t localPeers = 58;
constexpr std::size_t remoteHubs = 4;
constexpr milliseconds serviceTime{400};

/// Mean processor time of one call, in microseconds.
double microsecondsPerCall(int calls, const std::function<void(int)> &call)
{
    const auto startedAt = std::chrono::steady_clock::now();
    for (int i = 0; i < calls; ++i) {
        call(i);
    }
    return toSeconds(std::chrono::steady_clock::now() - startedAt) * microsecondsPerSecond / calls;
}

target_snapshot makeSnapshot(std::size_t targets)
{
    target_snapshot snapshot;
    snapshot.revision = 1;
    for (std::size_t i = 0; i < targets; ++i) {
        target_entry entry;
        entry.id = "i-" + std::to_string(100000 + i);
        entry.service = "service-" + std::to_string(i % servicesPerNode);
        entry.address = {"10.0." + std::to_string(i / 200) + "." + std::to_string(i % 200 + 1), 7000};
        entry.dataCentre = "dc-" + std::to_string(i % (remoteHubs + 1));
        entry.slots = slotsPerTarget;
        snapshot.targets.push_back(entry);
    }
    return snapshot;
}

/// Report of a hub with a request at every second target.
std::vector<target_report> makeReport(const target_table &table, std::uint32_t requestsSent)
{
    std::vector<target_report> report;
    std::size_t position = 0;
    for (const auto &[key, row] : table.rows()) {
        if (position++ % 2 == 0) {
            target_report each;
            each.key = key;
            each.inFlight = 1;
            each.counts.requestsSent = requestsSent;
            each.counts.successes = requestsSent;
            report.push_back(each);
        }
    }
    return report;
}

void measureHub(suite_result &result, std::size_t targets, const bench_arguments &arguments)
{
    const std::string name = "hub, " + std::to_string(targets) + " targets: ";
    const instant now = std::chrono::steady_clock::now();
    target_table table("dc-0", arguments.seed);
    table.apply(makeSnapshot(targets), now);
    for (std::size_t peer = 1; peer <= localPeers + remoteHubs; ++peer) {
        table.applyPeerReport(peer, peer <= remoteHubs ? makeReport(table, 1) : std::vector<target_report>(), now);
    }
    target_query query;
    query.service = "service-0";
    query.meanServiceTime = serviceTime;
    query.timeLeft = seconds(2);
    query.objectiveTimeLeft = seconds(1);
    const double choice = microsecondsPerCall(300, [&](int i) {
        const auto chosen = table.choose(query, now + milliseconds(i));
        if (chosen) {
            table.requestStarted(*chosen->row);
            table.requestFinished(*chosen->row, target_outcome::served, serviceTime, serviceTime, now + milliseconds(i));
        }
    });
    result.rows.push_back({name + "choice of a target", "node", choice, "us", {}});

    mesh_message message;
    message.sender = {1, "dc-1", 1, true, 500, 0};
    message.targets = makeReport(table, 2);
    const std::string bytes = encode(message);
    result.rows.push_back({name + "report of a hub", "node", static_cast<double>(bytes.size()), "B", {}});
    result.rows.push_back({name + "encoding a report", "node", microsecondsPerCall(300, [&](int) { encode(message); }), "us", {}});
    const double applied = microsecondsPerCall(300, [&](int i) {
        auto decoded = decodeMeshMessage(bytes);
        for (auto &row : decoded.value().targets) {
            row.counts.requestsSent += static_cast<std::uint32_t>(i);
        }
        table.applyPeerReport(1, decoded.value().targets, now + milliseconds(i));
    });
    result.rows.push_back({name + "decoding and applying a report", "node", applied, "us", {}});
}

/// Membership of a fleet that is spread evenly over five data centres, seen by one of its small nodes.
void measureMembership(suite_result &result, std::size_t nodes)
{
    const std::string name = "membership, " + std::to_string(nodes) + " nodes: ";
    const auto memberAt = [](std::size_t i) {
        constexpr std::size_t dataCentres = 5;
        mesh_member member;
        member.address = static_cast<node_address>(1000 + i);
        member.dataCentre = "dc-" + std::to_string(i % dataCentres);
        member.incarnation = 1;
        member.isReady = true;
        member.capacityMillicores = i < dataCentres * 3 ? 500 : 100;
        return member;
    };
    instant now = std::chrono::steady_clock::now();
    member_table table(memberAt(nodes - 1), {});
    mesh_message message;
    message.sender = memberAt(0);
    for (std::size_t i = 0; i + 1 < nodes; ++i) {
        message.members.push_back(memberAt(i));
    }
    table.applyMessage(message, now);
    const double tick = microsecondsPerCall(60, [&](int) {
        now += milliseconds(50);
        table.readyHubs(now);
        table.readerPosition(now);
        table.takeDueRecipients(false, now);
    });
    result.rows.push_back({name + "roles and recipients of a tick", "node", tick, "us", {}});
    result.rows.push_back({name + "20 ticks a second", "node", tick * 20.0 / microsecondsPerSecond * 100.0, "% of a core", 4.0});
}

} // namespace

suite_result measureNode(const bench_arguments &arguments)
{
    suite_result result{"node", arguments.seed, {}};
    for (const std::size_t targets : {30U, 240U, 480U, 1500U}) {
        measureHub(result, targets, arguments);
    }
    for (const std::size_t nodes : {30U, 100U, 300U, 1000U, 4900U}) {
        measureMembership(result, nodes);
    }
    return result;
}

} // namespace bench
