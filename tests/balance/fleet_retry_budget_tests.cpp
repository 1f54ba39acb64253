#include "balance/fleet_retry_budget.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <numeric>
#include <vector>

using namespace flamingofield;

namespace {

const instant start = instant() + seconds(1000);

class fleet_retry_budget_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_retry_budget_tests);
    CPPUNIT_TEST(boundsRetriesOfAllNodesTogether);
    CPPUNIT_TEST(boundsRetriesOfNodesThatReceiveReportsOfOneHubOnly);
    CPPUNIT_TEST(boundsRetriesAcrossAPowerFailureOfAllNodes);
    CPPUNIT_TEST_SUITE_END();

    /// All targets of a service shed, and every node tries to retry every request.
    void boundsRetriesOfAllNodesTogether()
    {
        constexpr std::size_t nodes = 6;
        const retry_limits limits{0.2, 60.0, seconds(10)};
        std::vector<fleet_retry_budget> budgets(nodes, fleet_retry_budget(limits));
        instant now = start;
        int requests = 0;
        int retries = 0;
        for (int tick = 0; tick < 100; ++tick, now += milliseconds(100)) {
            for (std::size_t node = 0; node < nodes; ++node) {
                budgets[node].countRequest("s", now);
                ++requests;
                while (budgets[node].isRetryAllowed("s", nodes, now)) {
                    budgets[node].countRetry("s", now);
                    ++retries;
                }
            }
            if (tick % 2 == 0) {
                for (std::size_t from = 0; from < nodes; ++from) {
                    for (std::size_t to = 0; to < nodes; ++to) {
                        if (from != to) {
                            budgets[to].applyPeerReport(from, "s", budgets[from].own("s", now), now);
                        }
                    }
                }
            }
        }
        CPPUNIT_ASSERT(retries <= limits.ratio * requests + limits.extraRetries);
        CPPUNIT_ASSERT(retries > (limits.ratio * requests + limits.extraRetries) / 3);
    }

    /// Hubs stop one after the other, and callers move to nodes that receive reports of one hub each while all requests fail.
    void boundsRetriesOfNodesThatReceiveReportsOfOneHubOnly()
    {
        constexpr std::size_t hubs = 3;
        constexpr std::size_t others = 29;
        constexpr int requestsEach = 15;
        const retry_limits limits{0.2, 56.0, seconds(10)};
        int retries = 0;
        int requests = 300; // Of the hub whose reports all of them receive.
        for (std::size_t node = 0; node < others; ++node) {
            fleet_retry_budget budget(limits);
            budget.applyPeerReport(1, "s", {300, 0}, start);
            for (int i = 0; i < requestsEach; ++i, ++requests) {
                budget.countRequest("s", start);
                if (budget.isRetryAllowed("s", nodesSharingRetryBudget(false, hubs, hubs + others - 1), start)) {
                    budget.countRetry("s", start);
                    ++retries;
                }
            }
        }
        CPPUNIT_ASSERT(retries > 0);
        CPPUNIT_ASSERT(retries <= limits.ratio * requests + limits.extraRetries);
    }

    /// Requests begin to fail, and the retry budget is used up at once. Two seconds later all nodes lose power. After the restart
    /// each node assumes at first that it is the only one, and requests still fail.
    void boundsRetriesAcrossAPowerFailureOfAllNodes()
    {
        constexpr std::size_t nodes = 30;
        constexpr int ticksPerSecond = 10;
        constexpr int powerOffAt = 20 * ticksPerSecond;
        constexpr int failsFrom = powerOffAt - 2 * ticksPerSecond;
        constexpr int powerOnAt = powerOffAt + ticksPerSecond;
        constexpr int receivesReportsFrom = powerOnAt + ticksPerSecond;
        constexpr int end = 50 * ticksPerSecond;
        const retry_limits limits{0.2, 56.0, seconds(10)};
        std::vector<fleet_retry_budget> budgets(nodes, fleet_retry_budget(limits));
        std::vector<int> requests(end);
        std::vector<int> retries(end);
        for (int tick = 0; tick < end; ++tick) {
            const instant now = start + tick * milliseconds(1000 / ticksPerSecond);
            if (tick == powerOnAt) {
                std::fill(budgets.begin(), budgets.end(), fleet_retry_budget(limits));
                for (auto &budget : budgets) {
                    budget.setRestartedAt(now);
                }
            }
            const bool isPoweredOn = tick < powerOffAt || tick >= powerOnAt;
            const bool receivesReports = tick < powerOffAt || tick >= receivesReportsFrom;
            for (std::size_t node = static_cast<std::size_t>(tick) % 5; node < nodes; node += 5) {
                ++requests[static_cast<std::size_t>(tick)]; // Callers go on sending while no node answers.
                if (!isPoweredOn) {
                    continue;
                }
                budgets[node].countRequest("s", now);
                if (tick >= failsFrom && budgets[node].isRetryAllowed("s", receivesReports ? nodes : 1, now)) {
                    budgets[node].countRetry("s", now);
                    ++retries[static_cast<std::size_t>(tick)];
                }
            }
            for (std::size_t from = 0; receivesReports && from < nodes; ++from) {
                for (std::size_t to = 0; to < nodes; ++to) {
                    if (from != to) {
                        budgets[to].applyPeerReport(from, "s", budgets[from].own("s", now), now);
                    }
                }
            }
        }
        const int window = static_cast<int>(limits.window.count()) * ticksPerSecond;
        for (int from = 0; from + window <= end; ++from) {
            const auto sumOf
                = [&](const std::vector<int> &counts) { return std::accumulate(counts.begin() + from, counts.begin() + from + window, 0); };
            CPPUNIT_ASSERT(sumOf(retries) <= limits.ratio * sumOf(requests) + limits.extraRetries);
        }
        // Nodes that have been up for a whole window use the budget as before.
        CPPUNIT_ASSERT(std::accumulate(retries.end() - window, retries.end(), 0) > limits.extraRetries);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_retry_budget_tests);

} // namespace
