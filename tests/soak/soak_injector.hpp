#pragma once

#include "soak/soak_record.hpp"
#include "standins/platform_fleet.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace soak {

/// Disturbs a fleet from outside: processes by signals, links by their proxies, servers and the store by their stand-ins.
/// Faults come in series and overlap; each ends by itself.
class injector
{
public:
    /// @param newestVersion raised with each configuration that the store acknowledged
    injector(platform_standins::platform_fleet &fleet, std::uint64_t seed, std::atomic<int> &newestVersion);

    /// Injects faults for a time, then ends all of them.
    void run(std::chrono::milliseconds length);

    const disturbance_log &disturbances() const
    {
        return m_disturbances;
    }
    const std::vector<process_event> &processes() const
    {
        return m_processes;
    }
    const std::vector<store_event> &changes() const
    {
        return m_changes;
    }
    /// One line for each fault, for the account of a failed run.
    const std::vector<std::string> &history() const
    {
        return m_history;
    }

private:
    /// A fault that waits for its end.
    struct pending_end
    {
        subject on;
        instant at{};
        std::function<void()> end;
    };
    using fault = void (injector::*)();

    void killNode();
    void killAllNodes();
    void pauseNode();
    void stopNode();
    void reloadNode();
    /// Begins a fault on one of the links, unless that one has a fault already.
    void disturbLink(subject_kind kind, const char *name, std::vector<std::unique_ptr<standins::fault_proxy>> &links);
    void disturbGateLink();
    void disturbStoreLink();
    void disturbServerLink();
    void disturbServer();
    void disturbStore();
    void publishVersion();
    void drainServer();

    void kill(std::size_t node, std::chrono::milliseconds down);
    bool isFree(subject on) const;
    void begin(subject on, const std::string &what, std::chrono::milliseconds length, std::function<void()> end);
    void endDue(instant now);
    void startNode(std::size_t node);
    void note(const std::string &what);
    std::size_t anyOf(std::size_t count);
    std::chrono::milliseconds between(int minMs, int maxMs);
    standins::link_faults anyLinkFault();

    platform_standins::platform_fleet &m_fleet;
    std::mt19937_64 m_random;
    std::atomic<int> &m_newestVersion;
    instant m_startedAt{};
    std::vector<pending_end> m_ends;
    disturbance_log m_disturbances;
    std::vector<process_event> m_processes;
    std::vector<store_event> m_changes;
    std::vector<std::string> m_prefixes;
    std::vector<std::string> m_history;
};

} // namespace soak
