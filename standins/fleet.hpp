#pragma once

#include "backend_server.hpp"
#include "child_process.hpp"
#include "config/operator_config.hpp"
#include "fault_proxy.hpp"
#include "platform.hpp"

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
    std::string judge = "sequential";
};

/// What a small deployment is made of.
struct fleet_plan
{
    std::vector<fleet_service> services{{"wilgoc", 4, 4, 8, "sequential"}};
    int nodes = 3;
    int dataCentres = 3;
    std::uint64_t seed = 1;
    bool hasTargetProxies = false; ///< A fault proxy before each backend server.
    bool hasPeerProxies = false; ///< A fault proxy before each node's peer address.
    bool hasPlatformProxy = false;
    double falseEjectionsPerTargetDay = 1.0;
    std::string secret;
    std::string readRank = "normal"; ///< Rank of GET routes; all ranks have routes of their own too.
};

/// One entry VM as a real process.
struct fleet_node
{
    flamingofield::endpoint gate;
    flamingofield::endpoint peer;
    flamingofield::endpoint admin;
    std::string dataCentre;
    child_process process;
    std::unique_ptr<fault_proxy> peerProxy;
    flamingofield::endpoint peerListen;
};

/// One backend server.
struct fleet_target
{
    std::string service;
    flamingofield::endpoint address; ///< As the operator's text names it.
    std::unique_ptr<backend_server> server;
    std::unique_ptr<fault_proxy> proxy;
};

/// A small deployment: flamingod as real processes, backend servers and the platform as stand-ins in this process.
///
/// Addresses come from the loopback range by process and instance, so that runs side by side do not meet.
class fleet
{
public:
    explicit fleet(fleet_plan plan);
    ~fleet();
    fleet(const fleet &) = delete;
    fleet &operator=(const fleet &) = delete;

    /// Starts everything and waits until each node serves and knows all others.
    /// @return false if that takes more than 20 s
    bool start();

    void startNode(std::size_t index);

    /// Waits for a node to answer its health page.
    bool awaitServing(std::size_t index, flamingofield::duration limit);

    /// Waits until every running node sees exactly so many nodes alive, itself among them.
    bool awaitMembers(std::size_t count, flamingofield::duration limit);

    /// Status page of a node; empty if it does not answer.
    std::string status(std::size_t index) const;

    /// Version in force at a node; 0 if it does not answer.
    std::uint64_t versionAt(std::size_t index) const;

    /// Sum of a counter over all running nodes.
    std::uint64_t counterSum(const std::string &name) const;

    /// Text of this deployment with a version.
    std::string text(std::uint64_t version) const;

    /// Runs of keys over all backend servers.
    std::map<std::string, int> runs() const;

    std::vector<flamingofield::endpoint> gates() const;

    std::vector<fleet_node> &nodes()
    {
        return m_nodes;
    }
    std::vector<fleet_target> &targets()
    {
        return m_targets;
    }
    platform &store()
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

    fleet_plan m_plan;
    int m_net;
    int m_instance;
    platform m_platform;
    flamingofield::endpoint m_platformAddress;
    std::unique_ptr<fault_proxy> m_platformProxy;
    std::vector<fleet_target> m_targets;
    std::vector<fleet_node> m_nodes;
};

/// Waits until a condition holds, checking often.
/// @return false if it does not hold within the limit
bool awaitTrue(const std::function<bool()> &condition, flamingofield::duration limit);

} // namespace standins
