#pragma once

#include "edge/fleet_state.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace test_support {

using namespace flamingofield;

/// The list of targets in the platform's store, and whether the store answers.
class fake_registry
{
public:
    void put(const std::string &id, bool isDraining = false)
    {
        remove(id);
        target_entry entry;
        entry.id = id;
        entry.service = "s";
        entry.address = {"10.0.0." + id.substr(id.find('-') + 1), 80};
        entry.isDraining = isDraining;
        m_list.targets.push_back(entry);
        std::sort(m_list.targets.begin(), m_list.targets.end(), [](const target_entry &a, const target_entry &b) { return a.id < b.id; });
    }

    void remove(const std::string &id)
    {
        auto &rows = m_list.targets;
        rows.erase(std::remove_if(rows.begin(), rows.end(), [&](const target_entry &row) { return row.id == id; }), rows.end());
        changeConfig();
    }

    /// A change of another document raises the revision as well.
    void changeConfig()
    {
        ++m_list.revision;
    }

    const target_snapshot &list() const
    {
        return m_list;
    }

    bool isUp = true;

private:
    target_snapshot m_list{10, {}};
};

/// Nodes that share targets by fleet_state, in simulated time. Messages between nodes take no time unless a test delays them.
class simulated_fleet
{
public:
    static constexpr milliseconds step{10};

    struct node
    {
        bool reachesRegistry = true;
        bool reachesPeers = true;
        bool isHub = true; ///< Reads the registry before the others.
        milliseconds messageTime{0}; ///< Time until a peer's message to this node arrives.
        milliseconds fetchTime{0}; ///< The same for a peer's answer.
        std::unique_ptr<fleet_state> state;
        std::set<std::string> inUse; ///< Ids of the targets in use.
        std::vector<std::pair<instant, store_calls::handler<target_snapshot>>> reads; ///< Running ones, by the time of their timeout.
        std::multimap<instant, std::function<void()>> arrivals;
    };

    simulated_fleet(std::size_t size, fake_registry &registry)
        : liveNodes(size)
        , m_registry(registry)
        , m_nodes(size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            restart(i);
        }
    }
    simulated_fleet(const simulated_fleet &) = delete;
    simulated_fleet &operator=(const simulated_fleet &) = delete;
    ~simulated_fleet() = default;

    node &operator[](std::size_t index)
    {
        return m_nodes[index];
    }

    instant now() const
    {
        return m_now;
    }

    /// Starts a node without any knowledge, in place of the process that ran before.
    void restart(std::size_t index)
    {
        node &started = m_nodes[index];
        started.reads.clear();
        started.arrivals.clear();
        started.inUse.clear();
        store_calls calls;
        calls.readConfig = [](const auto &) {};
        calls.watchConfig = [](auto, auto, const auto &) {};
        calls.readTargets = [this, &started](auto onEnd) { started.reads.emplace_back(m_now + readTimeout, std::move(onEnd)); };
        const auto use = [&started](const target_snapshot &snapshot) {
            started.inUse.clear();
            for (const target_entry &target : snapshot.targets) {
                if (!target.isDraining) {
                    started.inUse.insert(target.id);
                }
            }
        };
        started.state = std::make_unique<fleet_state>(
            std::move(calls),
            [this, &started](node_address peer, const auto &path, auto onEnd) { fetch(started, peer, path, std::move(onEnd)); },
            [](const auto &) {}, use, heartbeat, m_now, first_reads{false, index << firstReadShift}, [this] { return m_now; });
    }

    /// Lets time pass.
    /// @param check called after each step
    void run(
        duration length, const std::function<void()> &check = [] {})
    {
        for (const instant end = m_now + length; m_now < end;) {
            m_now += step;
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                runNode(i);
            }
            check();
        }
    }

    /// Delivers one node's summary to another as a message.
    void tell(std::size_t from, std::size_t to)
    {
        mesh_message message;
        message.fleetState = m_nodes[from].state->summaryForPeers(m_now);
        node &receiver = m_nodes[to];
        const auto receive = [this, from, &receiver, bytes = encode(message)] {
            receiver.state->handlePeerSummary(from, decodeMeshMessage(bytes).value().fleetState, m_now);
        };
        if (receiver.messageTime == milliseconds(0)) {
            receive();
        } else {
            receiver.arrivals.emplace(m_now + receiver.messageTime, receive);
        }
    }

    /// Delivers the summary of a peer of an earlier release, which does not mark the targets that it assumes.
    void tellAsEarlierRelease(std::size_t to)
    {
        fleet_state_summary told;
        told.targetsRevision = earlierList.revision;
        told.targetsDigest = digestOf(earlierList);
        told.targetsAgeMs = 0;
        m_nodes[to].state->handlePeerSummary(earlierPeer, told, m_now);
    }

    std::size_t liveNodes; ///< As the nodes count them.
    target_snapshot earlierList; ///< Of the peer of an earlier release.

private:
    static constexpr node_address earlierPeer = 1000;
    static constexpr milliseconds heartbeat{1500};
    static constexpr milliseconds readTimeout{400};
    static constexpr milliseconds messageInterval{100};

    void runNode(std::size_t index)
    {
        node &each = m_nodes[index];
        while (!each.arrivals.empty() && each.arrivals.begin()->first <= m_now) {
            const auto arrive = std::move(each.arrivals.begin()->second);
            each.arrivals.erase(each.arrivals.begin());
            arrive();
        }
        const auto reads = std::exchange(each.reads, {});
        for (const auto &[timeout, onEnd] : reads) {
            if (each.reachesRegistry && m_registry.isUp) {
                onEnd(m_registry.list());
            } else if (m_now >= timeout) {
                onEnd(error{"read targets", "registry", "timed out"});
            } else {
                each.reads.emplace_back(timeout, onEnd);
            }
        }
        const bool isAlone = !each.reachesPeers || m_nodes.size() == 1;
        // Other nodes take the place of hubs that are lost.
        const bool hasHub
            = std::any_of(m_nodes.begin(), m_nodes.end(), [](const node &other) { return other.isHub && other.reachesPeers; });
        const auto before = std::count_if(m_nodes.begin(), m_nodes.begin() + static_cast<std::ptrdiff_t>(index),
                                          [](const node &other) { return other.reachesPeers; });
        const std::size_t position = static_cast<std::size_t>(before) + (each.isHub || !hasHub ? 0 : firstFollowerPosition);
        each.state->tick(isAlone ? reader_place() : reader_place{position, liveNodes}, m_now);
        if (isAlone || (m_now + step * index).time_since_epoch() % messageInterval != duration::zero()) {
            return;
        }
        for (std::size_t peer = 0; peer < m_nodes.size(); ++peer) {
            if (peer != index && m_nodes[peer].reachesPeers) {
                tell(index, peer);
            }
        }
    }

    void fetch(node &by, node_address peer, const std::string &path, std::function<void(result<http_answer_message>)> onEnd)
    {
        http_answer_message answer;
        if (peer == earlierPeer) {
            answer.status = 200;
            answer.body = encode(fetched_targets{{earlierList, std::nullopt}, std::nullopt});
        } else {
            answer = m_nodes[peer].state->serve(path);
        }
        by.arrivals.emplace(m_now + by.fetchTime, [answer, onEnd = std::move(onEnd)] { onEnd(answer); });
    }

    static constexpr std::size_t firstFollowerPosition = 6;
    static constexpr int firstReadShift = 18; ///< Spreads the reads of the first few nodes.

    fake_registry &m_registry;
    instant m_now = instant() + seconds(1000);
    std::vector<node> m_nodes;
};

} // namespace test_support
