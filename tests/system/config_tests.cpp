#include "caller.hpp"
#include "fleet.hpp"
#include "fleet/peer_message.hpp"
#include "fleet/peer_transport.hpp"
#include "support/test_arguments.hpp"

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

constexpr seconds spreadLimit{6};
constexpr seconds suspectLimit{3};
constexpr seconds restartLimit{20};

fleet_plan planOf(int nodes)
{
    fleet_plan plan;
    plan.nodes = nodes;
    plan.seed = test_support::testSeed();
    return plan;
}

bool isInForceEverywhere(fleet &deployment, std::uint64_t version)
{
    for (std::size_t i = 0; i < deployment.nodes().size(); ++i) {
        if (deployment.nodes()[i].process.isRunning() && deployment.versionAt(i) < version) {
            return false;
        }
    }
    return true;
}

/// Asks all nodes again and again which version they answer with; the highest seen at a node must never go down.
class version_watch
{
public:
    explicit version_watch(fleet &deployment)
        : m_deployment(deployment)
        , m_thread([this] { run(); })
    {
    }

    ~version_watch()
    {
        m_isDone = true;
        m_thread.join();
    }

    int decreases() const
    {
        return m_decreases;
    }

    /// Versions answered below the given one.
    int answersBelow(std::uint64_t version) const
    {
        return m_least < version ? 1 : 0;
    }

    void startFloor()
    {
        m_least = UINT64_MAX;
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
                m_least = std::min<std::uint64_t>(m_least, version);
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

    fleet &m_deployment;
    flamingofield::backend_client m_client{{}};
    std::atomic<bool> m_isDone{false};
    std::atomic<int> m_decreases{0};
    std::atomic<std::uint64_t> m_least{UINT64_MAX};
    std::thread m_thread;
};

/// One configuration in force everywhere, and members that find each other, with real processes.
class config_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(config_tests);
    CPPUNIT_TEST(spreadsANewTextToAllNodes);
    CPPUNIT_TEST(takesTheNewestTextFromPeersWhileTheStoreIsAway);
    CPPUNIT_TEST(neverGoesBackWithAStaleStoreAndARollingReplacement);
    CPPUNIT_TEST(keepsTheTextInForceOverInvalidAndOlderOnes);
    CPPUNIT_TEST(convergesAfterTwoTextsWithOneVersion);
    CPPUNIT_TEST(dropsAKilledNodeFromAddressAnswers);
    CPPUNIT_TEST(survivesTheLossOfAQuarterAtOnce);
    CPPUNIT_TEST(keepsANodeThatHearsOthersOnlyThroughRelays);
    CPPUNIT_TEST(ignoresNodesWithoutTheSecret);
    CPPUNIT_TEST(staysWithinTheStoreBudgetInAStormOfRestarts);
    CPPUNIT_TEST_SUITE_END();

    void spreadsANewTextToAllNodes()
    {
        fleet deployment(planOf(12));
        CPPUNIT_ASSERT(deployment.start());
        for (std::uint64_t version = 2; version <= 5; ++version) {
            deployment.store().publish(deployment.text(version));
            CPPUNIT_ASSERT(awaitTrue([&] { return isInForceEverywhere(deployment, version); }, spreadLimit));
        }
    }

    void takesTheNewestTextFromPeersWhileTheStoreIsAway()
    {
        fleet deployment(planOf(6));
        CPPUNIT_ASSERT(deployment.start());
        deployment.store().publish(deployment.text(2));
        CPPUNIT_ASSERT(awaitTrue([&] { return isInForceEverywhere(deployment, 2); }, spreadLimit));
        platform_behaviour away;
        away.isAway = true;
        deployment.store().setBehaviour(away);
        deployment.nodes()[0].process.signal(SIGKILL);
        deployment.nodes()[0].process.wait();
        deployment.startNode(0);
        CPPUNIT_ASSERT(deployment.awaitServing(0, restartLimit));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, deployment.versionAt(0));
    }

    void neverGoesBackWithAStaleStoreAndARollingReplacement()
    {
        fleet deployment(planOf(6));
        CPPUNIT_ASSERT(deployment.start());
        deployment.store().publish(deployment.text(2));
        deployment.store().publish(deployment.text(3));
        CPPUNIT_ASSERT(awaitTrue([&] { return isInForceEverywhere(deployment, 3); }, spreadLimit));
        platform_behaviour stale;
        stale.staleRevision = 1;
        deployment.store().setBehaviour(stale);
        version_watch watch(deployment);
        for (std::size_t i = 0; i < deployment.nodes().size(); ++i) {
            deployment.nodes()[i].process.signal(SIGKILL);
            deployment.nodes()[i].process.wait();
            deployment.startNode(i);
            CPPUNIT_ASSERT(deployment.awaitServing(i, restartLimit));
        }
        CPPUNIT_ASSERT_EQUAL(0, watch.decreases());
        CPPUNIT_ASSERT_EQUAL(0, watch.answersBelow(3));
        CPPUNIT_ASSERT(isInForceEverywhere(deployment, 3));
    }

    void keepsTheTextInForceOverInvalidAndOlderOnes()
    {
        fleet deployment(planOf(4));
        CPPUNIT_ASSERT(deployment.start());
        version_watch watch(deployment);
        deployment.store().publish(deployment.text(7));
        CPPUNIT_ASSERT(awaitTrue([&] { return isInForceEverywhere(deployment, 7); }, spreadLimit));
        deployment.store().publish("version = 8\nthis is no text");
        deployment.store().publish(deployment.text(6));
        CPPUNIT_ASSERT(awaitTrue([&] { return deployment.counterSum("config_stale_total") > 0; }, spreadLimit));
        deployment.store().publish("version = 9\n[[service]]\n");
        CPPUNIT_ASSERT(awaitTrue([&] { return deployment.counterSum("config_invalid_total") > 0; }, spreadLimit));
        CPPUNIT_ASSERT(isInForceEverywhere(deployment, 7));
        deployment.store().publish(deployment.text(10));
        CPPUNIT_ASSERT(awaitTrue([&] { return isInForceEverywhere(deployment, 10); }, spreadLimit));
        CPPUNIT_ASSERT_EQUAL(0, watch.decreases());
    }

    void convergesAfterTwoTextsWithOneVersion()
    {
        fleet deployment(planOf(4));
        CPPUNIT_ASSERT(deployment.start());
        deployment.store().publish(deployment.text(2));
        CPPUNIT_ASSERT(awaitTrue([&] { return isInForceEverywhere(deployment, 2); }, spreadLimit));
        deployment.store().publish(deployment.text(2) + "# another editor\n");
        const auto isSettled = [&] {
            for (std::size_t i = 0; i < deployment.nodes().size(); ++i) {
                const auto page = nlohmann::json::parse(deployment.status(i), nullptr, false);
                if (!page.is_object() || page["config"]["revision"] != 3) {
                    return false;
                }
            }
            return true;
        };
        CPPUNIT_ASSERT(awaitTrue(isSettled, spreadLimit));
        CPPUNIT_ASSERT(deployment.counterSum("config_conflict_total") > 0);
    }

    static bool isAddressed(caller &client, const flamingofield::endpoint &entry)
    {
        const auto nodes = client.addresses("wilgoc");
        return std::any_of(nodes.begin(), nodes.end(), [&](const auto &n) { return n.address == entry; });
    }

    void dropsAKilledNodeFromAddressAnswers()
    {
        fleet deployment(planOf(6));
        CPPUNIT_ASSERT(deployment.start());
        // A fresh caller for each question, so that no kept answer hides the fleet's own.
        const auto isAddressedAnywhere = [&](std::size_t node) {
            for (std::size_t i = 0; i < deployment.nodes().size(); ++i) {
                caller client({deployment.nodes()[i].gate});
                if (i != node && isAddressed(client, deployment.nodes()[node].gate)) {
                    return true;
                }
            }
            return false;
        };
        CPPUNIT_ASSERT(isAddressedAnywhere(0));
        deployment.nodes()[0].process.signal(SIGKILL);
        deployment.nodes()[0].process.wait();
        CPPUNIT_ASSERT(awaitTrue([&] { return !isAddressedAnywhere(0); }, suspectLimit));
    }

    void survivesTheLossOfAQuarterAtOnce()
    {
        fleet deployment(planOf(12));
        CPPUNIT_ASSERT(deployment.start());
        for (std::size_t i = 0; i < 3; ++i) {
            deployment.nodes()[i].process.signal(SIGKILL);
            deployment.nodes()[i].process.wait();
        }
        CPPUNIT_ASSERT(deployment.awaitMembers(9, restartLimit));
        deployment.store().publish(deployment.text(2));
        CPPUNIT_ASSERT(awaitTrue([&] { return isInForceEverywhere(deployment, 2); }, spreadLimit));
        caller client({deployment.nodes()[5].gate});
        call request;
        request.target = "/wilgoc/read/1";
        CPPUNIT_ASSERT_EQUAL(200, client.send("wilgoc", request).status);
    }

    void keepsANodeThatHearsOthersOnlyThroughRelays()
    {
        fleet_plan plan = planOf(6);
        plan.hasPeerProxies = true;
        fleet deployment(plan);
        CPPUNIT_ASSERT(deployment.start());
        link_faults dark;
        dark.dropToServer = true;
        // The node hears nobody although all hear it: it must leave the address answers, and come back.
        deployment.nodes()[0].peerProxy->setFaults(dark);
        caller other({deployment.nodes()[1].gate});
        CPPUNIT_ASSERT(awaitTrue(
            [&] {
                caller fresh({deployment.nodes()[1].gate});
                return !isAddressed(fresh, deployment.nodes()[0].gate);
            },
            restartLimit));
        deployment.nodes()[0].peerProxy->setFaults({});
        CPPUNIT_ASSERT(deployment.awaitMembers(6, restartLimit));
    }

    void ignoresNodesWithoutTheSecret()
    {
        fleet_plan plan = planOf(3);
        plan.secret = "one";
        fleet first(plan);
        CPPUNIT_ASSERT(first.start());
        flamingofield::peer_message forged;
        forged.sender.info.incarnation = 42;
        forged.sender.info.peerAddress = {"127.0.0.1", 9};
        forged.sender.info.gateAddress = {"127.0.0.1", 9};
        forged.sender.info.dataCentre = "dc-1";
        forged.config = {99, 99};
        forged.body = flamingofield::heartbeat{1, false};
        flamingofield::peer_transport link({[](const std::string &, const std::string &) {}, [](const flamingofield::endpoint &) {}});
        const auto rejected = [&] {
            link.send(first.nodes()[0].peer, encodeMessage(forged, "two"));
            return first.counterSum("peer_messages_rejected_total") > 2;
        };
        CPPUNIT_ASSERT(awaitTrue(rejected, restartLimit));
        CPPUNIT_ASSERT(first.awaitMembers(3, seconds(1)));
    }

    void staysWithinTheStoreBudgetInAStormOfRestarts()
    {
        fleet deployment(planOf(16));
        CPPUNIT_ASSERT(deployment.start());
        deployment.store().resetPeak();
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
        // The fleet of 4,900 may make 2,000 reads a second; this one its part of that, and one first read a node besides.
        const std::uint64_t perNode = 2;
        const std::uint64_t peak = deployment.store().peakReadsPerSecond();
        CPPUNIT_ASSERT_MESSAGE("peak of " + std::to_string(peak) + " reads in a second", peak <= perNode * deployment.nodes().size() + 16);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, deployment.store().refusals());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_tests);

} // namespace
