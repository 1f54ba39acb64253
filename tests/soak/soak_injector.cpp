#include "soak/soak_injector.hpp"

#include "soak/soak_checks.hpp"

#include <algorithm>
#include <csignal>
#include <thread>

namespace soak {

using std::chrono::milliseconds;
using namespace platform_standins;

namespace {

/// Pause between two faults; short against their lengths, so that they overlap.
constexpr int leastPauseMs = 50;
constexpr int mostPauseMs = 500;
/// Length of a fault: from a blink to longer than all leases of the product.
constexpr int leastLengthMs = 150;
constexpr int mostLengthMs = 3500;
/// Longest planned stop: the grace period.
constexpr milliseconds longestStop{6000};
/// A node counts as disturbed for this long after its start; it fetches the shared state meanwhile.
constexpr milliseconds startTime{1500};

} // namespace

injector::injector(platform_fleet &fleet, std::uint64_t seed, std::atomic<int> &newestVersion)
    : m_fleet(fleet)
    , m_random(seed)
    , m_newestVersion(newestVersion)
{
    m_newestVersion = firstVersion;
}

void injector::run(milliseconds length)
{
    // Faults that occur more often stand several times.
    static const std::vector<fault> faults{&injector::killNode,          &injector::killNode,          &injector::killAllNodes,
                                           &injector::pauseNode,         &injector::pauseNode,         &injector::stopNode,
                                           &injector::stopNode,          &injector::stopNode,          &injector::reloadNode,
                                           &injector::disturbGateLink,   &injector::disturbStoreLink,  &injector::disturbStoreLink,
                                           &injector::disturbServer,     &injector::disturbServer,     &injector::disturbServerLink,
                                           &injector::disturbServerLink, &injector::disturbServerLink, &injector::disturbStore,
                                           &injector::publishVersion,    &injector::publishVersion,    &injector::drainServer};
    m_startedAt = std::chrono::steady_clock::now();
    const instant end = m_startedAt + length;
    instant nextFault = m_startedAt;
    // One in four runs is calm for planned work alone, so that the checks that need a calm fleet see cases.
    const bool isPlannedOnly = anyOf(4) == 0;
    static const std::vector<fault> planned{&injector::stopNode, &injector::reloadNode, &injector::publishVersion, &injector::drainServer};
    for (instant now = m_startedAt; now < end; now = std::chrono::steady_clock::now()) {
        endDue(now);
        if (now >= nextFault) {
            const auto &choices = isPlannedOnly ? planned : faults;
            (this->*choices[anyOf(choices.size())])();
            nextFault = now + between(leastPauseMs, mostPauseMs);
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    while (!m_ends.empty()) {
        endDue(std::chrono::steady_clock::now());
        std::this_thread::sleep_for(milliseconds(5));
    }
}

std::size_t injector::anyOf(std::size_t count)
{
    return m_random() % count;
}

milliseconds injector::between(int leastMs, int mostMs)
{
    return milliseconds(std::uniform_int_distribution<int>(leastMs, mostMs)(m_random));
}

void injector::note(const std::string &what)
{
    const auto at = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_startedAt);
    m_history.push_back(std::to_string(at.count()) + " ms: " + what);
}

bool injector::isFree(subject on) const
{
    return std::none_of(m_ends.begin(), m_ends.end(),
                        [&](const pending_end &each) { return each.on.kind == on.kind && each.on.index == on.index; });
}

void injector::begin(subject on, const std::string &what, milliseconds length, std::function<void()> end)
{
    const instant now = std::chrono::steady_clock::now();
    m_disturbances.begin(on, now);
    note(what + " " + std::to_string(on.index) + " for " + std::to_string(length.count()) + " ms");
    m_ends.push_back({on, now + length, std::move(end)});
}

void injector::endDue(instant now)
{
    std::vector<pending_end> due;
    const auto isDue = [&](const pending_end &each) { return each.at <= now; };
    std::copy_if(m_ends.begin(), m_ends.end(), std::back_inserter(due), isDue);
    m_ends.erase(std::remove_if(m_ends.begin(), m_ends.end(), isDue), m_ends.end());
    for (const auto &each : due) {
        each.end();
        const bool isProcess = each.on.kind == subject_kind::process;
        m_disturbances.end(each.on, std::chrono::steady_clock::now() + (isProcess ? startTime : milliseconds(0)));
    }
}

void injector::startNode(std::size_t node)
{
    m_fleet.startNode(node);
    m_processes.push_back({node, std::chrono::steady_clock::now(), false});
}

void injector::kill(std::size_t node, milliseconds down)
{
    const subject on{subject_kind::process, node};
    if (!isFree(on) || !isFree({subject_kind::planned_stop, node})) {
        return;
    }
    begin(on, "kill node", down, [this, node] { startNode(node); });
    m_fleet.nodes[node].process.signal(SIGKILL);
    m_fleet.nodes[node].process.wait();
}

void injector::killNode()
{
    kill(anyOf(m_fleet.nodes.size()), between(50, 1500));
}

void injector::killAllNodes()
{
    const milliseconds down = between(50, 1000);
    for (std::size_t node = 0; node < m_fleet.nodes.size(); ++node) {
        kill(node, down);
    }
}

void injector::pauseNode()
{
    const std::size_t node = anyOf(m_fleet.nodes.size());
    const subject on{subject_kind::process, node};
    if (isFree(on) && isFree({subject_kind::planned_stop, node})) {
        m_fleet.nodes[node].process.signal(SIGSTOP);
        begin(on, "pause node", between(leastLengthMs, mostLengthMs), [this, node] { m_fleet.nodes[node].process.signal(SIGCONT); });
    }
}

void injector::stopNode()
{
    const std::size_t node = anyOf(m_fleet.nodes.size());
    const subject on{subject_kind::planned_stop, node};
    if (!isFree(on) || !isFree({subject_kind::process, node})) {
        return;
    }
    m_processes.push_back({node, std::chrono::steady_clock::now(), true});
    m_fleet.nodes[node].process.signal(SIGTERM);
    begin(on, "stop node", longestStop, [this, node] {
        const subject process{subject_kind::process, node};
        m_disturbances.begin(process, std::chrono::steady_clock::now());
        m_fleet.nodes[node].process.signal(SIGKILL);
        m_fleet.nodes[node].process.wait();
        startNode(node);
        m_disturbances.end(process, std::chrono::steady_clock::now() + startTime);
    });
}

void injector::reloadNode()
{
    const std::size_t node = anyOf(m_fleet.nodes.size());
    if (isFree({subject_kind::process, node}) && isFree({subject_kind::planned_stop, node})) {
        note("reload node " + std::to_string(node));
        m_fleet.writeSettings(node, static_cast<int>(10 + anyOf(20)));
        m_fleet.nodes[node].process.signal(SIGHUP);
    }
}

standins::link_faults injector::anyLinkFault()
{
    standins::link_faults faults;
    switch (anyOf(6)) {
    case 0:
        faults.dropToServer = true;
        break;
    case 1:
        faults.dropToClient = true;
        break;
    case 2:
        faults.refuseConnections = true;
        break;
    case 3:
        faults.silenceExisting = true;
        break;
    case 4:
        faults.closeAfterBytesToClient = anyOf(400);
        break;
    default:
        faults.delay = between(5, 400);
        break;
    }
    return faults;
}

void injector::disturbLink(subject_kind kind, const char *name, std::vector<std::unique_ptr<standins::fault_proxy>> &links)
{
    const subject on{kind, anyOf(links.size())};
    if (isFree(on)) {
        links[on.index]->setFaults(anyLinkFault());
        begin(on, name, between(leastLengthMs, mostLengthMs), [&links, on] { links[on.index]->setFaults({}); });
    }
}

void injector::disturbGateLink()
{
    disturbLink(subject_kind::gate_link, "gate link", m_fleet.gateLinks);
}

void injector::disturbStoreLink()
{
    disturbLink(subject_kind::store_link, "store link", m_fleet.storeLinks);
}

void injector::disturbServerLink()
{
    disturbLink(subject_kind::server, "server link", m_fleet.serverLinks);
}

void injector::disturbServer()
{
    const subject on{subject_kind::server, anyOf(m_fleet.servers.size())};
    if (!isFree(on)) {
        return;
    }
    server_behaviour behaviour;
    bool *const variants[] = {&behaviour.fails, &behaviour.sheds, &behaviour.losesAnswers, &behaviour.hangs};
    const std::size_t variant = anyOf(std::size(variants) + 1);
    if (variant < std::size(variants)) {
        *variants[variant] = true;
    } else {
        behaviour.workMs = 800;
    }
    m_fleet.servers[on.index]->setBehaviour(behaviour);
    begin(on, "server behaviour " + std::to_string(variant) + " of", between(leastLengthMs, mostLengthMs),
          [this, on] { m_fleet.servers[on.index]->setBehaviour({}); });
}

void injector::disturbStore()
{
    const subject on{subject_kind::store, 0};
    if (!isFree(on)) {
        return;
    }
    store_behaviour behaviour;
    const std::size_t variant = anyOf(4);
    behaviour.isSilent = variant == 0;
    behaviour.refusalStatus = variant == 1 ? 503 : variant == 2 ? 429 : 0;
    m_fleet.store.setBehaviour(behaviour);
    if (variant == 3) {
        m_fleet.store.dropHistory();
    }
    begin(on, "store behaviour " + std::to_string(variant) + " of", between(leastLengthMs, mostLengthMs),
          [this] { m_fleet.store.setBehaviour({}); });
}

void injector::publishVersion()
{
    const int version = m_newestVersion + 1;
    m_prefixes.push_back(pathOfVersion(version));
    m_fleet.publish(version, m_prefixes);
    store_event change;
    change.version = version;
    change.acknowledgedAt = std::chrono::steady_clock::now();
    m_changes.push_back(change);
    m_newestVersion = version;
    note("configuration " + std::to_string(version));
}

void injector::drainServer()
{
    const std::size_t server = anyOf(m_fleet.servers.size());
    const subject on{subject_kind::server, server};
    if (!isFree(on)) {
        return;
    }
    const bool isTold = anyOf(2) == 0;
    if (isTold) {
        m_fleet.registerServer(server, true);
    } else {
        m_fleet.removeServer(server);
    }
    store_event change;
    change.server = server;
    change.acknowledgedAt = std::chrono::steady_clock::now();
    m_changes.push_back(change);
    const std::size_t number = m_changes.size() - 1;
    begin(on, isTold ? "drain server" : "remove server", between(leastLengthMs, 2 * mostLengthMs), [this, server, number] {
        m_changes[number].revokedAt = std::chrono::steady_clock::now();
        m_fleet.registerServer(server, false);
    });
}

} // namespace soak
