#include "caller.hpp"
#include "fleet/peer_message.hpp"
#include "fleet/peer_transport.hpp"
#include "support/test_seed.hpp"
#include "test_deployment.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <thread>

using namespace standins;
using flamingofield::milliseconds;
using flamingofield::seconds;

namespace {

constexpr seconds propagationLimit{6};
constexpr seconds removalLimit{3};
constexpr seconds restartLimit{20};

deployment_plan planOf(int nodes)
{
    deployment_plan plan;
    plan.nodes = nodes;
    plan.seed = test_support::testSeed();
    return plan;
}

bool isInForceEverywhere(test_deployment &deployment, std::uint64_t version)
{
    for (std::size_t i = 0; i < deployment.nodes().size(); ++i) {
        if (deployment.nodes()[i].process.isRunning() && deployment.versionAt(i) < version) {
            return false;
        }
    }
    return true;
}

/// Polls the configuration version in the address answers of all nodes and counts, for each node, versions below the highest seen there.
class version_monitor
{
public:
    explicit version_monitor(test_deployment &deployment)
        : m_deployment(deployment)
        , m_thread([this] { run(); })
    {
    }

    ~version_monitor()
    {
        m_isDone = true;
        m_thread.join();
    }

    int decreases() const
    {
        return m_decreases;
    }

    /// @return 1 if any node answered with a version below the given one, otherwise 0
    int hasVersionBelow(std::uint64_t version) const
    {
        return m_lowestVersion < version ? 1 : 0;
    }

    void resetLowestVersion()
    {
        m_lowestVersion = UINT64_MAX;
    }

private:
    void run()
    {
        std::vector<std::uint64_t> highest(m_deployment.nodes().size(), 0);
        while (!m_isDone) {
            for (std::size_t i = 0; i < highest.size(); ++i) {
                const std::uint64_t version = answeredVersion(m_deployment.nodes()[i].gate);
                if (version == 0) {
                    continue;
                }
                m_decreases += version < highest[i] ? 1 : 0;
                highest[i] = std::max(highest[i], version);
                m_lowestVersion = std::min<std::uint64_t>(m_lowestVersion, version);
            }
            std::this_thread::sleep_for(milliseconds(20));
        }
    }

    std::uint64_t answeredVersion(const flamingofield::endpoint &gate)
    {
        flamingofield::backend_request request;
        request.method = "GET";
        request.target = "/v1/addresses?service=wilgoc";
        request.deadline = std::chrono::steady_clock::now() + milliseconds(300);
        const auto outcome = m_client.send(gate, request);
        const auto *answer = std::get_if<flamingofield::backend_answer>(&outcome);
        const auto body = answer != nullptr ? nlohmann::json::parse(answer->body, nullptr, false) : nlohmann::json();
        return body.is_object() ? body.value("version", std::uint64_t{0}) : 0;
    }

    test_deployment &m_deployment;
    flamingofield::backend_client m_client{{}};
    std::atomic<bool> m_isDone{false};
    std::atomic<int> m_decreases{0};
    std::atomic<std::uint64_t> m_lowestVersion{UINT64_MAX};
    std::thread m_thread;
};

/// Propagation of the configuration and membership of the fleet, with real processes.
class config_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(config_tests);
    CPPUNIT_TEST(appliesANewConfigurationOnAllNodes);
    CPPUNIT_TEST(startsWithTheNewestConfigurationFromPeersWhileTheStoreIsUnavailable);
    CPPUNIT_TEST(neverRevertsToAnOlderConfigurationInARollingRestartWithAStaleStore);
    CPPUNIT_TEST(ignoresInvalidAndOlderConfigurations);
    CPPUNIT_TEST(convergesWhenTwoConfigurationsHaveTheSameVersion);
    CPPUNIT_TEST(removesAKilledNodeFromAddressAnswers);
    CPPUNIT_TEST(survivesTheLossOfAQuarterOfTheNodesAtOnce);
    CPPUNIT_TEST(removesANodeFromAddressAnswersWhileItReceivesNoPeerMessages);
    CPPUNIT_TEST(rejectsPeerMessagesWithAnotherSecret);
    CPPUNIT_TEST(staysWithinTheStoreReadBudgetWhenAllNodesRestart);
    CPPUNIT_TEST_SUITE_END();

    void appliesANewConfigurationOnAllNodes()
    {
        test_deployment deployment(planOf(12));
        CPPUNIT_ASSERT(deployment.start());
        for (std::uint64_t version = 2; version <= 5; ++version) {
            deployment.platformStandin().publish(deployment.configuration(version));
            CPPUNIT_ASSERT(awaitTrue([&] { return isInForceEverywhere(deployment, version); }, propagationLimit));
        }
    }

    void startsWithTheNewestConfigurationFromPeersWhileTheStoreIsUnavailable()
    {
        test_deployment deployment(planOf(6));
        CPPUNIT_ASSERT(deployment.start());
        deployment.platformStandin().publish(deployment.configuration(2));
        CPPUNIT_ASSERT(awaitTrue([&] { return isInForceEverywhere(deployment, 2); }, propagationLimit));
        platform_behaviour unavailable;
        unavailable.isUnavailable = true;
        deployment.platformStandin().setBehaviour(unavailable);
        deployment.nodes()[0].process.signal(SIGKILL);
        deployment.nodes()[0].process.wait();
        deployment.startNode(0);
        CPPUNIT_ASSERT(deployment.awaitServing(0, restartLimit));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, deployment.versionAt(0));
    }

    void neverRevertsToAnOlderConfigurationInARollingRestartWithAStaleStore()
    {
        test_deployment deployment(planOf(6));
        CPPUNIT_ASSERT(deployment.start());
        deployment.platformStandin().publish(deployment.configuration(2));
        deployment.platformStandin().publish(deployment.configuration(3));
        CPPUNIT_ASSERT(awaitTrue([&] { return isInForceEverywhere(deployment, 3); }, propagationLimit));
        platform_behaviour stale;
        stale.staleRevision = 1;
        deployment.platformStandin().setBehaviour(stale);
        version_monitor monitor(deployment);
        for (std::size_t i = 0; i < deployment.nodes().size(); ++i) {
            deployment.nodes()[i].process.signal(SIGKILL);
            deployment.nodes()[i].process.wait();
            deployment.startNode(i);
            CPPUNIT_ASSERT(deployment.awaitServing(i, restartLimit));
        }
        CPPUNIT_ASSERT_EQUAL(0, monitor.decreases());
        CPPUNIT_ASSERT_EQUAL(0, monitor.hasVersionBelow(3));
        CPPUNIT_ASSERT(isInForceEverywhere(deployment, 3));
    }

    void ignoresInvalidAndOlderConfigurations()
    {
        test_deployment deployment(planOf(4));
        CPPUNIT_ASSERT(deployment.start());
        version_monitor monitor(deployment);
        deployment.platformStandin().publish(deployment.configuration(7));
        CPPUNIT_ASSERT(awaitTrue([&] { return isInForceEverywhere(deployment, 7); }, propagationLimit));
        deployment.platformStandin().publish("version = 8\nthis is no text");
        deployment.platformStandin().publish(deployment.configuration(6));
        CPPUNIT_ASSERT(awaitTrue([&] { return deployment.counterSum("config_stale_total") > 0; }, propagationLimit));
        deployment.platformStandin().publish("version = 9\n[[service]]\n");
        CPPUNIT_ASSERT(awaitTrue([&] { return deployment.counterSum("config_invalid_total") > 0; }, propagationLimit));
        CPPUNIT_ASSERT(isInForceEverywhere(deployment, 7));
        deployment.platformStandin().publish(deployment.configuration(10));
        CPPUNIT_ASSERT(awaitTrue([&] { return isInForceEverywhere(deployment, 10); }, propagationLimit));
        CPPUNIT_ASSERT_EQUAL(0, monitor.decreases());
    }

    void convergesWhenTwoConfigurationsHaveTheSameVersion()
    {
        test_deployment deployment(planOf(4));
        CPPUNIT_ASSERT(deployment.start());
        deployment.platformStandin().publish(deployment.configuration(2));
        CPPUNIT_ASSERT(awaitTrue([&] { return isInForceEverywhere(deployment, 2); }, propagationLimit));
        deployment.platformStandin().publish(deployment.configuration(2) + "# another editor\n");
        const auto hasNewestRevisionEverywhere = [&] {
            for (std::size_t i = 0; i < deployment.nodes().size(); ++i) {
                const auto page = nlohmann::json::parse(deployment.status(i), nullptr, false);
                if (!page.is_object() || page["config"]["revision"] != 3) {
                    return false;
                }
            }
            return true;
        };
        CPPUNIT_ASSERT(awaitTrue(hasNewestRevisionEverywhere, propagationLimit));
        CPPUNIT_ASSERT(deployment.counterSum("config_conflict_total") > 0);
    }

    static bool isInAddressAnswer(caller &client, const flamingofield::endpoint &entry)
    {
        const auto nodes = client.addresses("wilgoc");
        return std::any_of(nodes.begin(), nodes.end(), [&](const auto &n) { return n.address == entry; });
    }

    void removesAKilledNodeFromAddressAnswers()
    {
        test_deployment deployment(planOf(6));
        CPPUNIT_ASSERT(deployment.start());
        // A new caller for each query, because a caller caches address answers.
        const auto isInAnyAddressAnswer = [&](std::size_t node) {
            for (std::size_t i = 0; i < deployment.nodes().size(); ++i) {
                caller client({deployment.nodes()[i].gate});
                if (i != node && isInAddressAnswer(client, deployment.nodes()[node].gate)) {
                    return true;
                }
            }
            return false;
        };
        CPPUNIT_ASSERT(isInAnyAddressAnswer(0));
        deployment.nodes()[0].process.signal(SIGKILL);
        deployment.nodes()[0].process.wait();
        CPPUNIT_ASSERT(awaitTrue([&] { return !isInAnyAddressAnswer(0); }, removalLimit));
    }

    void survivesTheLossOfAQuarterOfTheNodesAtOnce()
    {
        test_deployment deployment(planOf(12));
        CPPUNIT_ASSERT(deployment.start());
        for (std::size_t i = 0; i < 3; ++i) {
            deployment.nodes()[i].process.signal(SIGKILL);
            deployment.nodes()[i].process.wait();
        }
        CPPUNIT_ASSERT(deployment.awaitMembers(9, restartLimit));
        deployment.platformStandin().publish(deployment.configuration(2));
        CPPUNIT_ASSERT(awaitTrue([&] { return isInForceEverywhere(deployment, 2); }, propagationLimit));
        caller client({deployment.nodes()[5].gate});
        caller_request request;
        request.target = "/wilgoc/read/1";
        CPPUNIT_ASSERT_EQUAL(200, client.send("wilgoc", request).status);
    }

    void removesANodeFromAddressAnswersWhileItReceivesNoPeerMessages()
    {
        deployment_plan plan = planOf(6);
        plan.hasPeerProxies = true;
        test_deployment deployment(plan);
        CPPUNIT_ASSERT(deployment.start());
        link_faults incomingDropped;
        incomingDropped.dropToServer = true;
        // The node receives no peer messages although all others receive its own: it must leave the address answers until the link works
        // again.
        deployment.nodes()[0].peerProxy->setFaults(incomingDropped);
        caller other({deployment.nodes()[1].gate});
        CPPUNIT_ASSERT(awaitTrue(
            [&] {
                caller fresh({deployment.nodes()[1].gate});
                return !isInAddressAnswer(fresh, deployment.nodes()[0].gate);
            },
            restartLimit));
        deployment.nodes()[0].peerProxy->setFaults({});
        CPPUNIT_ASSERT(deployment.awaitMembers(6, restartLimit));
    }

    void rejectsPeerMessagesWithAnotherSecret()
    {
        deployment_plan plan = planOf(3);
        plan.secret = "one";
        test_deployment deployment(plan);
        CPPUNIT_ASSERT(deployment.start());
        flamingofield::peer_message forged;
        forged.sender.info.incarnation = 42;
        forged.sender.info.peerAddress = {"127.0.0.1", 9};
        forged.sender.info.gateAddress = {"127.0.0.1", 9};
        forged.sender.info.dataCentre = "dc-1";
        forged.config = {99, 99};
        forged.body = flamingofield::heartbeat{1, false};
        flamingofield::peer_transport link({[](const std::string &, const std::string &) {}, [](const flamingofield::endpoint &) {}});
        const auto areForgedMessagesRejected = [&] {
            link.send(deployment.nodes()[0].peer, encodeMessage(forged, "two"));
            return deployment.counterSum("peer_messages_rejected_total") > 2;
        };
        CPPUNIT_ASSERT(awaitTrue(areForgedMessagesRejected, restartLimit));
        CPPUNIT_ASSERT(deployment.awaitMembers(3, seconds(1)));
    }

    void staysWithinTheStoreReadBudgetWhenAllNodesRestart()
    {
        test_deployment deployment(planOf(16));
        CPPUNIT_ASSERT(deployment.start());
        deployment.platformStandin().resetPeak();
        for (std::size_t i = 0; i < deployment.nodes().size(); ++i) {
            deployment.nodes()[i].process.signal(SIGKILL);
            deployment.nodes()[i].process.wait();
        }
        for (std::size_t i = 0; i < deployment.nodes().size(); ++i) {
            deployment.startNode(i);
        }
        for (std::size_t i = 0; i < deployment.nodes().size(); ++i) {
            CPPUNIT_ASSERT(deployment.awaitServing(i, restartLimit));
        }
        // A fleet of 4,900 nodes may make 2,000 reads per second; this one gets at least its share of that, and one initial read per node.
        const std::uint64_t perNode = 2;
        const std::uint64_t peak = deployment.platformStandin().peakReadsPerSecond();
        CPPUNIT_ASSERT_MESSAGE("peak of " + std::to_string(peak) + " reads per second", peak <= perNode * deployment.nodes().size() + 16);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, deployment.platformStandin().refusals());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_tests);

} // namespace
