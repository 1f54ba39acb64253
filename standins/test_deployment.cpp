#include "test_deployment.hpp"

#include "report/fleet_query.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace standins {

using flamingofield::duration;
using flamingofield::endpoint;
using flamingofield::milliseconds;
using flamingofield::seconds;

namespace {

constexpr int minSecondOctet = 64; // Addresses are 127.64.x.y to 127.191.x.y.
constexpr int secondOctetCount = 128;
constexpr int addressesPerKind = 100;
constexpr int platformKind = 0;
constexpr int targetKind = 1;
constexpr int nodeKind = 2;
constexpr std::uint16_t servicePort = 7000;
constexpr std::uint16_t proxiedPort = 7001;
constexpr std::uint16_t gatePort = 8080;
constexpr std::uint16_t peerPort = 8081;
constexpr std::uint16_t adminPort = 8082;
constexpr std::uint16_t proxiedPeerPort = 8083;
constexpr milliseconds pollInterval{20};
constexpr milliseconds statusTimeout{1000};
constexpr seconds startTimeout{20};

std::atomic<int> nextInstance{0};

std::string logDirectory()
{
    const char *configured = std::getenv("FLAMINGOFIELD_TEST_LOGS");
    std::string directory = configured != nullptr ? configured : "/tmp/flamingofield-test-logs";
    ::mkdir(directory.c_str(), 0755);
    return directory;
}

} // namespace

bool awaitTrue(const std::function<bool()> &condition, duration timeout)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

test_deployment::test_deployment(deployment_plan plan)
    : m_plan(std::move(plan))
    , m_secondOctet(minSecondOctet + static_cast<int>(::getpid()) % secondOctetCount)
    , m_instance(nextInstance++ % 60)
{
    m_platformAddress = {address(platformKind, 0), servicePort};
    int index = 0;
    for (const auto &service : m_plan.services) {
        for (int i = 0; i < service.targets; ++i) {
            fleet_target target;
            target.service = service.name;
            target.address = {address(targetKind, index++), servicePort};
            target.server = std::make_unique<backend_server>(service.slots, m_plan.seed * 1000 + static_cast<std::uint64_t>(index));
            m_targets.push_back(std::move(target));
        }
    }
    for (int i = 0; i < m_plan.nodes; ++i) {
        const std::string host = address(nodeKind, i);
        fleet_node node;
        node.gate = {host, gatePort};
        node.peer = {host, peerPort};
        node.admin = {host, adminPort};
        node.peerListenAddress = {host, m_plan.hasPeerProxies ? proxiedPeerPort : peerPort};
        node.dataCentre = "dc-" + std::to_string(i % m_plan.dataCentres + 1);
        m_nodes.push_back(std::move(node));
    }
}

test_deployment::~test_deployment()
{
    for (auto &node : m_nodes) {
        node.process = child_process();
    }
    for (auto &target : m_targets) {
        target.server->stop();
    }
    m_platform.stop();
}

std::string test_deployment::address(int kind, int index) const
{
    return "127." + std::to_string(m_secondOctet) + "." + std::to_string(m_instance * 4 + kind) + "."
        + std::to_string(1 + index % (addressesPerKind * 2));
}

std::string test_deployment::configuration(std::uint64_t version) const
{
    std::string text = "version = " + std::to_string(version) + "\ndeployment = \"test\"\ndata_centres = [";
    for (int i = 0; i < m_plan.dataCentres; ++i) {
        text += (i > 0 ? ", " : "") + ("\"dc-" + std::to_string(i + 1) + "\"");
    }
    text += "]\n";
    const std::vector<std::pair<std::string, std::string>> ranks{
        {"urgent", "deadline_ms = 1000\nguaranteed_share = 0.5\nobjective = 0.999"},
        {"normal", "deadline_ms = 2000\nguaranteed_share = 0.2\nobjective = 0.99"},
        {"least", "deadline_ms = 4000\nguaranteed_share = 0.05\nobjective = 0.95"}};
    for (const auto &[name, settings] : ranks) {
        text += "[[rank]]\nname = \"" + name + "\"\n" + settings + "\n";
    }
    for (const auto &service : m_plan.services) {
        text += "[[service]]\nname = \"" + service.name + "\"\nfloor_slots = " + std::to_string(service.floorSlots) + "\njudge = \""
            + service.detectorKind + "\"\nfalse_ejections_per_target_day = " + std::to_string(m_plan.falseEjectionsPerTargetDay) + "\n";
        int i = 0;
        for (const auto &target : m_targets) {
            if (target.service == service.name) {
                text += "[[service.target]]\naddress = \"" + toString(target.address) + "\"\ndata_centre = \"dc-"
                    + std::to_string(i++ % m_plan.dataCentres + 1) + "\"\nslots = " + std::to_string(service.slots)
                    + "\nconnections = 400\n";
            }
        }
    }
    for (const auto &service : m_plan.services) {
        const auto route = [&](const std::string &method, const std::string &path, const std::string &rank, bool isIdempotent) {
            text += "[[route]]\nmethod = \"" + method + "\"\npath = \"/" + service.name + path + "\"\nservice = \"" + service.name
                + "\"\nrank = \"" + rank + "\"\nidempotent = " + (isIdempotent ? "true" : "false") + "\n";
        };
        route("GET", "/read/{id}", m_plan.readRouteRank, true);
        for (const auto &rank : ranks) {
            route("GET", "/" + rank.first + "/{id}", rank.first, true);
        }
        route("POST", "/once/{id}", "normal", false);
    }
    return text;
}

void test_deployment::startNode(std::size_t index)
{
    fleet_node &node = m_nodes[index];
    const endpoint store = m_platformProxy ? endpoint{m_platformAddress.host, proxiedPort} : m_platformAddress;
    std::vector<std::string> command{FLAMINGOD_PATH,
                                     "--gate",
                                     toString(node.gate),
                                     "--peer",
                                     toString(node.peerListenAddress),
                                     "--advertise-peer",
                                     toString(node.peer),
                                     "--admin",
                                     toString(node.admin),
                                     "--platform",
                                     toString(store),
                                     "--data-centre",
                                     node.dataCentre,
                                     "--expected-fleet",
                                     std::to_string(m_nodes.size())};
    if (!m_plan.secret.empty()) {
        command.insert(command.end(), {"--secret", m_plan.secret});
    }
    for (std::size_t i = 0; i < std::min<std::size_t>(m_nodes.size(), 4); ++i) {
        if (i != index) {
            command.insert(command.end(), {"--seed", toString(m_nodes[i].peer)});
        }
    }
    auto started = child_process::start(command, logDirectory() + "/" + node.gate.host + ".log");
    if (started) {
        node.process = std::move(started.value());
    }
}

bool test_deployment::start()
{
    m_platform.publish(configuration(1));
    std::vector<flamingofield::listed_vm> vms;
    for (const auto &node : m_nodes) {
        vms.push_back({node.peer, false});
    }
    m_platform.setVms(std::move(vms));
    if (!m_platform.start(m_platformAddress)) {
        return false;
    }
    if (m_plan.hasPlatformProxy) {
        m_platformProxy = std::make_unique<fault_proxy>(m_platformAddress);
        if (!m_platformProxy->start({m_platformAddress.host, proxiedPort})) {
            return false;
        }
    }
    for (auto &target : m_targets) {
        const endpoint serverAddress{target.address.host, proxiedPort};
        if (!target.server->start(m_plan.hasTargetProxies ? serverAddress : target.address)) {
            return false;
        }
        if (m_plan.hasTargetProxies) {
            target.proxy = std::make_unique<fault_proxy>(serverAddress);
            if (!target.proxy->start(target.address)) {
                return false;
            }
        }
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_plan.hasPeerProxies) {
            m_nodes[i].peerProxy = std::make_unique<fault_proxy>(m_nodes[i].peerListenAddress);
            if (!m_nodes[i].peerProxy->start(m_nodes[i].peer)) {
                return false;
            }
        }
        startNode(i);
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (!awaitServing(i, startTimeout)) {
            return false;
        }
    }
    return awaitMembers(m_nodes.size(), startTimeout);
}

std::string test_deployment::status(std::size_t index) const
{
    const auto page = flamingofield::readStatus(m_nodes[index].admin, statusTimeout);
    return page ? page.value() : std::string();
}

bool test_deployment::awaitServing(std::size_t index, duration timeout)
{
    return awaitTrue(
        [&] {
            const auto page = nlohmann::json::parse(status(index), nullptr, false);
            return page.is_object() && page.value("serving", false);
        },
        timeout);
}

bool test_deployment::awaitMembers(std::size_t count, duration timeout)
{
    return awaitTrue(
        [&] {
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                if (!m_nodes[i].process.isRunning()) {
                    continue;
                }
                const auto page = nlohmann::json::parse(status(i), nullptr, false);
                std::size_t alive = 0;
                for (const auto &node : page.is_object() ? page["nodes"] : nlohmann::json::array()) {
                    alive += node["state"] == "alive" && !node["leaving"].get<bool>() ? 1 : 0;
                }
                if (alive != count) {
                    return false;
                }
            }
            return true;
        },
        timeout);
}

std::uint64_t test_deployment::versionAt(std::size_t index) const
{
    const auto page = nlohmann::json::parse(status(index), nullptr, false);
    return page.is_object() ? page["config"].value("version", std::uint64_t{0}) : 0;
}

std::uint64_t test_deployment::counterSum(const std::string &name) const
{
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        const auto page = m_nodes[i].process.isRunning() ? nlohmann::json::parse(status(i), nullptr, false) : nlohmann::json();
        sum += page.is_object() ? page["counters"].value(name, std::uint64_t{0}) : 0;
    }
    return sum;
}

std::map<std::string, int> test_deployment::runCounts() const
{
    std::map<std::string, int> sum;
    for (const auto &target : m_targets) {
        for (const auto &[key, count] : target.server->runCounts()) {
            sum[key] += count;
        }
    }
    return sum;
}

std::vector<endpoint> test_deployment::gates() const
{
    std::vector<endpoint> gates;
    for (const auto &node : m_nodes) {
        gates.push_back(node.gate);
    }
    return gates;
}

std::vector<fleet_target *> test_deployment::targetsOf(const std::string &service)
{
    std::vector<fleet_target *> found;
    for (auto &target : m_targets) {
        if (target.service == service) {
            found.push_back(&target);
        }
    }
    return found;
}

} // namespace standins
