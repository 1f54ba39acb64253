#include "balance/waiting_line.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace flamingofield;

namespace {

const instant start = instant() + seconds(1000);

class waiting_line_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(waiting_line_tests);
    CPPUNIT_TEST(servesUrgentRequestsFirst);
    CPPUNIT_TEST(keepsAShareForTheLeastUrgentInAFloodOfTheMostUrgent);
    CPPUNIT_TEST(keepsSlotsFreeForUrgentWorkInABurstOfTheLeastUrgent);
    CPPUNIT_TEST(expectsLongerWaitsForLowerRanks);
    CPPUNIT_TEST(givesUpWhatCanNoLongerBeServed);
    CPPUNIT_TEST_SUITE_END();

    static waiting_request request(std::uint64_t id, int rank, instant arrivedAt = start)
    {
        return {id, rank, arrivedAt, arrivedAt + seconds(5), milliseconds(500)};
    }

    void servesUrgentRequestsFirst()
    {
        waiting_line line;
        line.push(request(1, 2));
        line.push(request(2, 0, start + milliseconds(5)));
        line.push(request(3, 0));
        for (int i = 0; i < 50; ++i) {
            line.dispatched(0);
            line.dispatched(2);
        }
        CPPUNIT_ASSERT((line.order() == std::vector<std::uint64_t>{3, 2, 1}));
    }

    /// Pattern: the most urgent kind arrives faster than all slots can serve.
    void keepsAShareForTheLeastUrgentInAFloodOfTheMostUrgent()
    {
        waiting_line line;
        std::uint64_t next = 1;
        int urgent = 0;
        int least = 0;
        for (int i = 0; i < 400; ++i) {
            while (line.size() < 20) {
                line.push(request(next, next % 5 == 0 ? 2 : 0));
                ++next;
            }
            const std::uint64_t id = line.order().front();
            const int rank = id % 5 == 0 ? 2 : 0;
            line.remove(id);
            line.dispatched(rank);
            (rank == 0 ? urgent : least) += 1;
        }
        CPPUNIT_ASSERT(least >= static_cast<int>(400 * waiting_line::guaranteedShare) - 5);
        CPPUNIT_ASSERT(urgent > 4 * least);
    }

    /// Pattern: long work of the least urgent kind arrives at several times its usual rate.
    void keepsSlotsFreeForUrgentWorkInABurstOfTheLeastUrgent()
    {
        waiting_line line;
        const service_capacity capacity{48, 0.2};
        instant now = start;
        for (int i = 0; i < 60; ++i, now += milliseconds(100)) {
            line.arrived(0, milliseconds(220), now);
        }
        CPPUNIT_ASSERT(line.reservedSlots(2, capacity, now) >= 2);
        CPPUNIT_ASSERT_EQUAL(0, line.reservedSlots(0, capacity, now));
        CPPUNIT_ASSERT(line.reservedSlots(2, capacity, now) < 48 / 4);
        CPPUNIT_ASSERT_EQUAL(0, line.reservedSlots(2, capacity, now + seconds(60)));
    }

    void expectsLongerWaitsForLowerRanks()
    {
        waiting_line line;
        const service_capacity capacity{8, 0.5};
        CPPUNIT_ASSERT_EQUAL(0LL, toMilliseconds(line.expectedWait(2, capacity, start)));
        for (std::uint64_t id = 1; id <= 8; ++id) {
            line.push(request(id, id <= 4 ? 0 : 2));
        }
        const auto urgent = line.expectedWait(0, capacity, start);
        const auto least = line.expectedWait(2, capacity, start);
        CPPUNIT_ASSERT_EQUAL(500LL, toMilliseconds(urgent)); // four requests of half a second on four slots
        CPPUNIT_ASSERT_EQUAL(1000LL, toMilliseconds(least));
    }

    void givesUpWhatCanNoLongerBeServed()
    {
        waiting_line line;
        line.push(request(1, 0));
        line.push(request(2, 0, start + seconds(3)));
        CPPUNIT_ASSERT(line.takeHopeless(start + seconds(3)).empty());
        const auto hopeless = line.takeHopeless(start + milliseconds(4900));
        CPPUNIT_ASSERT((hopeless == std::vector<std::uint64_t>{1}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), line.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(waiting_line_tests);

} // namespace
