#include "admission/rank_queue.hpp"
#include "admission/retry_budget.hpp"
#include "admission/slot_quota.hpp"
#include "admission/slot_table.hpp"
#include "support/test_seed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <numeric>
#include <random>
#include <set>

using namespace flamingofield;

namespace {

const instant start = instant() + seconds(1000);

class admission_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admission_tests);
    CPPUNIT_TEST(servesUrgentRequestsFirst);
    CPPUNIT_TEST(keepsGuaranteedShareInAFloodOfTheMostUrgent);
    CPPUNIT_TEST(displacesTheCallerWithMostQueuedRequests);
    CPPUNIT_TEST(assignsEachSlotToExactlyOneMember);
    CPPUNIT_TEST(spreadsRequestsOverTargetsThatWereNeverFull);
    CPPUNIT_TEST(backsOffFromATargetThatSheds);
    CPPUNIT_TEST(boundsRetriesByFirstAttempts);
    CPPUNIT_TEST_SUITE_END();

    static rank_queue makeQueue()
    {
        rank_queue_limits limits;
        limits.guaranteedShares = {0.5, 0.1};
        limits.maxQueuedPerRank = 4;
        return rank_queue(limits);
    }

    void servesUrgentRequestsFirst()
    {
        rank_queue queue = makeQueue();
        queue.offer({1, 1, 10, start + seconds(1)});
        queue.offer({2, 0, 10, start + seconds(2)});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, queue.take(start)->id);
    }

    void keepsGuaranteedShareInAFloodOfTheMostUrgent()
    {
        rank_queue queue = makeQueue();
        int leastUrgentServed = 0;
        instant now = start;
        for (std::uint64_t id = 0; id < 2000; ++id) {
            now += milliseconds(1);
            queue.offer({2 * id, 0, id, now + seconds(1)});
            queue.offer({2 * id + 1, 1, id, now + seconds(1)});
            leastUrgentServed += queue.take(now)->rank == 1 ? 1 : 0;
        }
        CPPUNIT_ASSERT(leastUrgentServed >= 190 && leastUrgentServed <= 220);
    }

    void displacesTheCallerWithMostQueuedRequests()
    {
        rank_queue queue = makeQueue();
        for (std::uint64_t id = 0; id < 4; ++id) {
            queue.offer({id, 0, 7, start + seconds(1)});
        }
        CPPUNIT_ASSERT(!queue.offer({4, 0, 7, start + seconds(1)}).accepted);
        const offer_result other = queue.offer({5, 0, 8, start + seconds(1)});
        CPPUNIT_ASSERT(other.accepted && other.displaced.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, queue.size());
    }

    void assignsEachSlotToExactlyOneMember()
    {
        std::mt19937_64 random(test_support::testSeed());
        for (int round = 0; round < 500; ++round) {
            service_spec service;
            service.targets.resize(1 + random() % 15);
            for (auto &target : service.targets) {
                target.slots = 1 + static_cast<int>(random() % 8);
            }
            std::vector<member_demand> members(1 + random() % 14);
            for (auto &member : members) {
                member.byRank = {static_cast<double>(random() % 50), static_cast<double>(random() % 50)};
            }
            const auto owned = splitSlots(service, members, {0.5, 0.1});
            int sum = 0;
            for (std::size_t t = 0; t < service.targets.size(); ++t) {
                CPPUNIT_ASSERT_EQUAL(service.targets[t].slots, std::accumulate(owned[t].begin(), owned[t].end(), 0));
                sum += service.targets[t].slots;
            }
            CPPUNIT_ASSERT_EQUAL(declaredSlots(service), sum);
        }
    }

    void spreadsRequestsOverTargetsThatWereNeverFull()
    {
        slot_table table;
        for (std::size_t t = 0; t < 7; ++t) {
            table.at(t).limit.setBounds(1, 4);
        }
        std::set<std::size_t> used;
        for (std::uint64_t i = 0; i < 200; ++i) {
            const auto target = table.pick({false, 0, i, start});
            used.insert(*target);
            table.release(*target, true, false, start);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, used.size());
    }

    void backsOffFromATargetThatSheds()
    {
        slot_table table;
        table.at(0).limit.setBounds(4, 4);
        const auto target = table.pick({false, 0, 0, start});
        table.release(*target, false, true, start);
        CPPUNIT_ASSERT(!table.pick({false, 0, 0, start + milliseconds(5)}).has_value());
        CPPUNIT_ASSERT(table.pick({false, 0, 0, start + milliseconds(50)}).has_value());
    }

    void boundsRetriesByFirstAttempts()
    {
        retry_budget budget(0.05);
        int retries = 0;
        for (int i = 0; i < 10000; ++i) {
            budget.deposit();
            retries += budget.tryWithdraw() ? 1 : 0;
        }
        CPPUNIT_ASSERT(retries <= 501);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_tests);

} // namespace
