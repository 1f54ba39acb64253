#include "store/reading_schedule.hpp"

#include "core/hash.hpp"
#include "edge/fleet_state.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

using namespace flamingofield;

namespace {

const instant start = instant() + seconds(1000);
constexpr reading_schedule::read_intervals intervals = targetReadIntervals;

class reading_schedule_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(reading_schedule_tests);
    CPPUNIT_TEST(readsAtTheReadersInterval);
    CPPUNIT_TEST(doesNotReadWhileTheReadersConfirmationIsRecent);
    CPPUNIT_TEST(readsWithinTheLimitWithoutConfirmations);
    CPPUNIT_TEST(waitsLongerAfterEachFailure);
    CPPUNIT_TEST(limitsCallsToAStoreThatRefusesAllNodes);
    CPPUNIT_TEST(shortensTheRetryDelayWhenThePositionBecomesLow);
    CPPUNIT_TEST(readsOnFewNodesFirstWhenAllStartAtOnce);
    CPPUNIT_TEST_SUITE_END();

    void readsAtTheReadersInterval()
    {
        reading_schedule schedule(intervals);
        CPPUNIT_ASSERT(schedule.isDue(0, milliseconds(0), start));
        schedule.started(start);
        CPPUNIT_ASSERT(!schedule.isDue(0, seconds(9), start + seconds(9)));
        schedule.succeeded();
        CPPUNIT_ASSERT(!schedule.isDue(0, milliseconds(400), start + milliseconds(400)));
        CPPUNIT_ASSERT(schedule.isDue(0, milliseconds(500), start + milliseconds(500)));
    }

    void doesNotReadWhileTheReadersConfirmationIsRecent()
    {
        const reading_schedule schedule(intervals);
        CPPUNIT_ASSERT(!schedule.isDue(3, milliseconds(1000), start));
        CPPUNIT_ASSERT(!reading_schedule(configReadIntervals).isDue(3, milliseconds(1300), start));
    }

    void readsWithinTheLimitWithoutConfirmations()
    {
        const reading_schedule schedule(intervals);
        CPPUNIT_ASSERT(schedule.isDue(1, milliseconds(1200), start));
        // The platform's limit is two seconds; every node must start its read well before.
        CPPUNIT_ASSERT(schedule.isDue(4000, milliseconds(1500), start));
        CPPUNIT_ASSERT(reading_schedule(configReadIntervals).isDue(4000, milliseconds(1800), start));
    }

    /// All nodes start for the first time at once; what one of them has read reaches the others within 300 ms.
    void readsOnFewNodesFirstWhenAllStartAtOnce()
    {
        constexpr int nodes = 124;
        milliseconds first{10000};
        milliseconds last{0};
        std::vector<milliseconds> delays;
        for (int node = 0; node < nodes; ++node) {
            delays.push_back(reading_schedule::initialReadDelay(true, hashOf("10.1.0." + std::to_string(node))));
            first = std::min(first, delays.back());
            last = std::max(last, delays.back());
        }
        const auto readers
            = std::count_if(delays.begin(), delays.end(), [&](milliseconds delay) { return delay < first + milliseconds(300); });
        CPPUNIT_ASSERT(first < milliseconds(400));
        CPPUNIT_ASSERT(last <= milliseconds(2050));
        CPPUNIT_ASSERT(readers * 3 < nodes);
        // After a power failure callers are already waiting.
        CPPUNIT_ASSERT(reading_schedule::initialReadDelay(false, 7) <= milliseconds(150));
    }

    /// Number of store calls of one node during an outage in which the store refuses all of them.
    static int callsDuringOutage(std::size_t position, duration outage)
    {
        reading_schedule schedule(intervals);
        schedule.setPosition(position);
        int calls = 0;
        for (instant now = start; now < start + outage; now += milliseconds(10)) {
            if (schedule.isDue(position, seconds(5), now)) {
                schedule.started(now);
                schedule.failed(now + milliseconds(5));
                ++calls;
            }
        }
        return calls;
    }

    /// The store refuses every node for eight seconds, for example because it is overloaded.
    void limitsCallsToAStoreThatRefusesAllNodes()
    {
        constexpr seconds outage{8};
        // The first few nodes notice soon that the store is back and update the others.
        CPPUNIT_ASSERT(callsDuringOutage(0, outage) >= 10);
        // The others call less than once a second, since there are thousands of them.
        CPPUNIT_ASSERT(callsDuringOutage(100, outage) < 8);
    }

    void shortensTheRetryDelayWhenThePositionBecomesLow()
    {
        reading_schedule schedule(intervals);
        schedule.setPosition(100);
        for (int i = 0; i < 10; ++i) {
            schedule.started(start);
            schedule.failed(start);
        }
        const instant later = start + milliseconds(1500);
        CPPUNIT_ASSERT(!schedule.isDue(100, seconds(5), later));
        schedule.setPosition(1);
        CPPUNIT_ASSERT(schedule.isDue(1, seconds(5), later));
    }

    void waitsLongerAfterEachFailure()
    {
        reading_schedule schedule(intervals);
        instant now = start;
        duration previous{};
        for (int i = 0; i < 4; ++i) {
            schedule.started(now);
            schedule.failed(now);
            const instant failedAt = now;
            while (!schedule.isDue(0, seconds(5), now)) {
                now += milliseconds(10);
            }
            CPPUNIT_ASSERT(now - failedAt > previous);
            previous = now - failedAt;
        }
        CPPUNIT_ASSERT(previous <= milliseconds(1500));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reading_schedule_tests);

} // namespace
