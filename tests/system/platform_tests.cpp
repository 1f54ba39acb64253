#include "fleet.hpp"
#include "standins/platform_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <csignal>
#include <future>
#include <thread>

using platform_standins::platform_fleet;
using standins::awaitTrue;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Bounds of the platform's contract.
constexpr seconds applyLimit{2};
constexpr seconds drainLimit{2};
constexpr seconds graceLimit{6};

/// Threads are started with std::async, because its futures join in their destructors, also when an assertion fails.
class platform_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_tests);
    CPPUNIT_TEST(servesARequestFromEndToEnd);
    CPPUNIT_TEST(tellsCallersAddressesOfReadyNodes);
    CPPUNIT_TEST(runsUnsafeWorkOnceWhenAnswersAreLost);
    CPPUNIT_TEST(sendsNothingToALeavingTargetAfterTheDrainTime);
    CPPUNIT_TEST(takesUpConfigurationsEverywhereInTime);
    CPPUNIT_TEST(keepsServingWhileTheStoreIsSilentAndTakesUpChangesAfterwards);
    CPPUNIT_TEST(findsChangesThatADroppedHistoryHides);
    CPPUNIT_TEST(readsTheStoreThroughFewNodes);
    CPPUNIT_TEST(stopsWithoutCuttingARequest);
    CPPUNIT_TEST(servesAgainAfterAllNodesWereKilled);
    CPPUNIT_TEST(explainsARequestRefusedInABurst);
    CPPUNIT_TEST(explainsAnUnsafeRequestFailedByAGrayTarget);
    CPPUNIT_TEST(explainsARequestRefusedByANodeWithoutConfiguration);
    CPPUNIT_TEST_SUITE_END();

    void servesARequestFromEndToEnd()
    {
        platform_fleet fleet(3, 2);
        CPPUNIT_ASSERT(fleet.start());
        const auto answer = fleet.send(0, "POST", "/write/1", "id-1");
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT(!answer.fields.value("Flamingofield-Response-Seal").empty());
        CPPUNIT_ASSERT_EQUAL(1, fleet.runsOf("id-1"));
        CPPUNIT_ASSERT_EQUAL(404, fleet.send(1, "GET", "/nowhere/", "id-2").status);
    }

    void tellsCallersAddressesOfReadyNodes()
    {
        platform_fleet fleet(4, 1);
        CPPUNIT_ASSERT(fleet.start());
        // Equal nodes are ordered by their addresses, which differ from run to run: either node of dc-b may be the one told.
        const auto isTold = [&](std::size_t node) {
            const auto answer = fleet.resolve(0, "dc-b");
            return answer.status == 200 && answer.body.find(fleet.nodes[node].address + ":") != std::string::npos;
        };
        CPPUNIT_ASSERT(awaitTrue([&] { return isTold(1) || isTold(3); }, seconds(3)));
        const std::size_t told = isTold(1) ? 1 : 3;
        const std::size_t other = told == 1 ? 3 : 1;
        fleet.nodes[told].process.signal(SIGKILL);
        // A dead node is left out as soon as its lease has run out, and the other one of its data centre takes its place.
        CPPUNIT_ASSERT(awaitTrue([&] { return isTold(other) && !isTold(told); }, seconds(4)));
    }

    void runsUnsafeWorkOnceWhenAnswersAreLost()
    {
        platform_fleet fleet(2, 2);
        CPPUNIT_ASSERT(fleet.start());
        platform_standins::server_behaviour loses;
        loses.losesAnswers = true;
        for (auto &server : fleet.servers) {
            server->setBehaviour(loses);
        }
        for (int i = 0; i < 20; ++i) {
            const std::string id = "id-" + std::to_string(i);
            CPPUNIT_ASSERT_EQUAL(502, fleet.send(static_cast<std::size_t>(i % 2), "POST", "/write/", id).status);
            CPPUNIT_ASSERT_EQUAL(1, fleet.runsOf(id));
        }
    }

    void sendsNothingToALeavingTargetAfterTheDrainTime()
    {
        platform_fleet fleet(3, 2);
        CPPUNIT_ASSERT(fleet.start());
        fleet.registerServer(0, true);
        std::this_thread::sleep_for(drainLimit);
        const auto before = fleet.servers[0]->runs().size();
        for (int i = 0; i < 30; ++i) {
            CPPUNIT_ASSERT_EQUAL(200, fleet.send(static_cast<std::size_t>(i % 3), "POST", "/write/", "id-" + std::to_string(i)).status);
        }
        CPPUNIT_ASSERT_EQUAL(before, fleet.servers[0]->runs().size());
    }

    void takesUpConfigurationsEverywhereInTime()
    {
        platform_fleet fleet(4, 1);
        CPPUNIT_ASSERT(fleet.start());
        for (int version = 2; version <= 4; ++version) {
            const std::string prefix = "/added" + std::to_string(version) + "/";
            fleet.publish(version, {prefix});
            std::this_thread::sleep_for(applyLimit);
            for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
                CPPUNIT_ASSERT_EQUAL(
                    200, fleet.send(node, "POST", prefix, "id-" + std::to_string(version * 10 + static_cast<int>(node))).status);
            }
        }
    }

    void keepsServingWhileTheStoreIsSilentAndTakesUpChangesAfterwards()
    {
        platform_fleet fleet(3, 2);
        CPPUNIT_ASSERT(fleet.start());
        platform_standins::store_behaviour silent;
        silent.isSilent = true;
        fleet.store.setBehaviour(silent);
        std::this_thread::sleep_for(seconds(3));
        CPPUNIT_ASSERT_EQUAL(200, fleet.send(0, "POST", "/write/", "id-1").status);
        CPPUNIT_ASSERT(fleet.isReady(0));
        fleet.publish(2, {"/added/"});
        fleet.store.setBehaviour({});
        // Three seconds of stability and the apply time are what the platform grants.
        CPPUNIT_ASSERT(awaitTrue([&] { return fleet.send(2, "POST", "/added/", "id-2").status == 200; }, seconds(5)));
    }

    void findsChangesThatADroppedHistoryHides()
    {
        platform_fleet fleet(3, 1);
        CPPUNIT_ASSERT(fleet.start());
        fleet.publish(2, {"/added/"});
        fleet.store.dropHistory();
        std::this_thread::sleep_for(applyLimit);
        for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
            CPPUNIT_ASSERT_EQUAL(200, fleet.send(node, "POST", "/added/", "id-" + std::to_string(node)).status);
        }
    }

    void readsTheStoreThroughFewNodes()
    {
        platform_fleet fleet(12, 1);
        CPPUNIT_ASSERT(fleet.start());
        std::this_thread::sleep_for(seconds(2));
        const auto before = fleet.store.calls();
        std::this_thread::sleep_for(seconds(4));
        // Two readers make three calls a second each; twelve nodes would make 144 in the same time.
        CPPUNIT_ASSERT(fleet.store.calls() - before <= 40);
    }

    void stopsWithoutCuttingARequest()
    {
        platform_fleet fleet(2, 2);
        CPPUNIT_ASSERT(fleet.start());
        platform_standins::server_behaviour slow;
        slow.workMs = 700;
        for (auto &server : fleet.servers) {
            server->setBehaviour(slow);
        }
        std::atomic<int> answered{0};
        std::vector<std::future<void>> callers;
        for (int i = 0; i < 6; ++i) {
            callers.push_back(std::async(std::launch::async, [&, i] {
                answered += fleet.send(0, "POST", "/write/", "id-" + std::to_string(i)).status == 200 ? 1 : 0;
            }));
        }
        std::this_thread::sleep_for(milliseconds(300));
        const auto stoppedAt = std::chrono::steady_clock::now();
        fleet.nodes[0].process.signal(SIGTERM);
        std::this_thread::sleep_for(milliseconds(100));
        CPPUNIT_ASSERT(!fleet.isReady(0));
        CPPUNIT_ASSERT_EQUAL(0, fleet.nodes[0].process.wait());
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - stoppedAt < graceLimit);
        for (auto &caller : callers) {
            caller.get();
        }
        CPPUNIT_ASSERT_EQUAL(6, answered.load());
    }

    void servesAgainAfterAllNodesWereKilled()
    {
        platform_fleet fleet(4, 2);
        CPPUNIT_ASSERT(fleet.start());
        for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
            fleet.nodes[i].process.signal(SIGKILL);
            fleet.nodes[i].process.wait();
        }
        for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
            fleet.startNode(i);
        }
        CPPUNIT_ASSERT(awaitTrue([&] { return fleet.send(3, "POST", "/write/", "id-1").status == 200; }, seconds(3)));
    }

    static std::string joined(const std::vector<std::string> &lines)
    {
        std::string text;
        for (const auto &line : lines) {
            text += line + "\n";
        }
        return text;
    }

    /// Waits for lines of a request, which a thread of its own writes.
    static std::string linesOf(const platform_fleet &fleet, std::size_t node, const std::string &id, const std::string &event)
    {
        std::string text;
        awaitTrue(
            [&] {
                text = joined(fleet.logLines(node, "id=" + id + " "));
                return text.find("event=" + event) != std::string::npos;
            },
            seconds(3));
        return text;
    }

    void explainsARequestRefusedInABurst()
    {
        platform_fleet fleet(1, 1);
        CPPUNIT_ASSERT(fleet.start());
        platform_standins::server_behaviour hangs;
        hangs.hangs = true;
        fleet.servers[0]->setBehaviour(hangs);
        std::vector<std::future<void>> callers;
        for (int i = 0; i < 60; ++i) {
            callers.push_back(
                std::async(std::launch::async, [&, i] { fleet.send(0, "POST", "/write/", "burst-" + std::to_string(i), 2000); }));
        }
        std::this_thread::sleep_for(milliseconds(500));
        const auto refused = fleet.send(0, "POST", "/write/", "late", 1000);
        for (auto &caller : callers) {
            caller.get();
        }
        CPPUNIT_ASSERT_EQUAL(503, refused.status);
        CPPUNIT_ASSERT(refused.fields.has("Retry-After"));
        CPPUNIT_ASSERT_EQUAL(0, fleet.runsOf("late"));
        const std::string lines = linesOf(fleet, 0, "late", "request_refused");
        CPPUNIT_ASSERT(lines.find("all slots are taken for longer than the request can wait") != std::string::npos);
        CPPUNIT_ASSERT(lines.find("free_slots=0") != std::string::npos);
    }

    void explainsAnUnsafeRequestFailedByAGrayTarget()
    {
        platform_fleet fleet(1, 1);
        CPPUNIT_ASSERT(fleet.start());
        platform_standins::server_behaviour fails;
        fails.fails = true;
        fleet.servers[0]->setBehaviour(fails);
        CPPUNIT_ASSERT_EQUAL(500, fleet.send(0, "POST", "/write/", "gray").status);
        CPPUNIT_ASSERT_EQUAL(1, fleet.runsOf("gray"));
        const std::string lines = linesOf(fleet, 0, "gray", "request_answered");
        CPPUNIT_ASSERT(lines.find("event=request_sent") != std::string::npos);
        CPPUNIT_ASSERT(lines.find("event=target_failed") != std::string::npos);
        CPPUNIT_ASSERT(lines.find("target=i-0 status=500 not_executed=no") != std::string::npos);
        CPPUNIT_ASSERT(lines.find("outcome=failed status=500") != std::string::npos);
    }

    void explainsARequestRefusedByANodeWithoutConfiguration()
    {
        platform_fleet fleet(1, 1);
        platform_standins::store_behaviour silent;
        silent.isSilent = true;
        fleet.store.setBehaviour(silent);
        CPPUNIT_ASSERT(!fleet.start());
        const auto refused = fleet.send(0, "POST", "/write/", "blind");
        CPPUNIT_ASSERT_EQUAL(503, refused.status);
        CPPUNIT_ASSERT(!fleet.isReady(0));
        const std::string lines = linesOf(fleet, 0, "blind", "request_refused");
        CPPUNIT_ASSERT(lines.find("reason=\"no configuration yet\"") != std::string::npos);
        CPPUNIT_ASSERT(!fleet.logLines(0, "event=store_lost").empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_tests);

} // namespace
