#pragma once

#include "backend_server.hpp"
#include "child_process.hpp"
#include "config/operator_config.hpp"
#include "fault_proxy.hpp"
#include "platform_standin.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace standins {

/// One service of a small deployment.
struct fleet_service
{
    std::string name;
    int targets = 3;
    int slots = 4;
    int floorSlots = 4;
    std::string detectorKind = "sequential";
};

/// Composition of a small deployment.
struct deployment_plan
{
    std::vector<fleet_service> services{{"wilgoc", 4, 4, 8, "sequential"}};
    int nodes = 3;
    int dataCentres = 3;
    std::uint64_t seed = 1;
    bool hasTargetProxies = false; ///< Puts a fault proxy in front of each backend server.
    bool hasPeerProxies = false; ///< Puts a fault proxy in front of each node's peer address.
    bool hasPlatformProxy = false; ///< Puts a fault proxy between the nodes and the platform.
    double falseEjectionsPerTargetDay = 1.0;
    std::string secret; ///< Of the messages between nodes; empty for none.
    std::string readRouteRank = "normal"; ///< Rank of GET /SERVICE/read/{id}; each rank also has a route GET /SERVICE/RANK/{id}.
};

/// One entry VM, as a real process.
struct fleet_node
{
    flamingofield::endpoint gate;
    flamingofield::endpoint peer; ///< Advertised to other nodes: the address of the proxy if there is one.
    flamingofield::endpoint admin;
    std::string dataCentre;
    child_process process;
    std::unique_ptr<fault_proxy> peerProxy;
    flamingofield::endpoint peerListenAddress; ///< Where the process itself listens.
};

/// One backend server.
struct fleet_target
{
    std::string service;
    flamingofield::endpoint address; ///< As in the configuration: the address of the proxy if there is one.
    std::unique_ptr<backend_server> server;
    std::unique_ptr<fault_proxy> proxy;
};

/// A small deployment: flamingod as real processes, backend servers and the platform as stand-ins in this process.
///
/// Addresses are loopback addresses derived from the process id and a number of this object, so that parallel runs
/// normally use different ones.
class test_deployment
{
public:
    explicit test_deployment(deployment_plan plan);
    ~test_deployment();
    test_deployment(const test_deployment &) = delete;
    test_deployment &operator=(const test_deployment &) = delete;

    /// Starts everything and waits until each node serves and sees all others alive.
    /// @return false if a process or listener did not start, or a step of the waiting took more than 20 s
    bool start();

    void startNode(std::size_t index);

    /// Waits until the status page of a node says that it serves.
    bool awaitServing(std::size_t index, flamingofield::duration timeout);

    /// Waits until every running node sees exactly this many nodes alive, including itself.
    bool awaitMembers(std::size_t count, flamingofield::duration timeout);

    /// Status page of a node as JSON; empty if it does not answer.
    std::string status(std::size_t index) const;

    /// Version of the configuration in force at a node; 0 if it does not answer.
    std::uint64_t versionAt(std::size_t index) const;

    /// Sum of a counter over all running nodes.
    std::uint64_t counterSum(const std::string &name) const;

    /// Configuration of this deployment, as TOML with the given version.
    std::string configuration(std::uint64_t version) const;

    /// Number of runs by idempotency key, over all backend servers.
    std::map<std::string, int> runCounts() const;

    std::vector<flamingofield::endpoint> gates() const;

    std::vector<fleet_node> &nodes()
    {
        return m_nodes;
    }
    std::vector<fleet_target> &targets()
    {
        return m_targets;
    }
    platform_standin &platformStandin()
    {
        return m_platform;
    }
    fault_proxy &storeProxy()
    {
        return *m_platformProxy;
    }

    std::vector<fleet_target *> targetsOf(const std::string &service);

private:
    std::string address(int kind, int index) const;

    deployment_plan m_plan;
    int m_secondOctet;
    int m_instance;
    platform_standin m_platform;
    flamingofield::endpoint m_platformAddress;
    std::unique_ptr<fault_proxy> m_platformProxy;
    std::vector<fleet_target> m_targets;
    std::vector<fleet_node> m_nodes;
};

/// Polls a condition every 20 ms until it holds.
/// @return false if it does not hold within the timeout
bool awaitTrue(const std::function<bool()> &condition, flamingofield::duration timeout);

} // namespace standins
