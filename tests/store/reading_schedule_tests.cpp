#include "store/reading_schedule.hpp"

#include "core/hash.hpp"
#include "edge/shared_knowledge.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

using namespace flamingofield;

namespace {

const instant start = instant() + seconds(1000);
constexpr reading_schedule::pace pace = targetReadPace;

class reading_schedule_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(reading_schedule_tests);
    CPPUNIT_TEST(readsAtTheReadersPace);
    CPPUNIT_TEST(leavesReadingToTheReaderWhileItsNewsAreFresh);
    CPPUNIT_TEST(stepsInWithinTheBoundWhenNoNewsCome);
    CPPUNIT_TEST(waitsLongerAfterEachFailure);
    CPPUNIT_TEST(sparesAStoreThatRefusesAllNodes);
    CPPUNIT_TEST(retriesSoonOnceItIsAmongTheFirst);
    CPPUNIT_TEST(readsWithFewNodesFirstWhenAllStartAtOnce);
    CPPUNIT_TEST_SUITE_END();

    void readsAtTheReadersPace()
    {
        reading_schedule schedule(pace);
        CPPUNIT_ASSERT(schedule.isDue(0, milliseconds(0), start));
        schedule.started(start);
        CPPUNIT_ASSERT(!schedule.isDue(0, seconds(9), start + seconds(9)));
        schedule.succeeded();
        CPPUNIT_ASSERT(!schedule.isDue(0, milliseconds(400), start + milliseconds(400)));
        CPPUNIT_ASSERT(schedule.isDue(0, milliseconds(500), start + milliseconds(500)));
    }

    void leavesReadingToTheReaderWhileItsNewsAreFresh()
    {
        const reading_schedule schedule(pace);
        CPPUNIT_ASSERT(!schedule.isDue(3, milliseconds(1000), start));
        CPPUNIT_ASSERT(!reading_schedule(configReadPace).isDue(3, milliseconds(1300), start));
    }

    void stepsInWithinTheBoundWhenNoNewsCome()
    {
        const reading_schedule schedule(pace);
        CPPUNIT_ASSERT(schedule.isDue(1, milliseconds(1200), start));
        // Two seconds are the platform's bound; every node must have begun well before.
        CPPUNIT_ASSERT(schedule.isDue(4000, milliseconds(1500), start));
        CPPUNIT_ASSERT(reading_schedule(configReadPace).isDue(4000, milliseconds(1800), start));
    }

    /// Pattern: all nodes start for the first time within a moment; what one has read reaches the others in 300 ms.
    void readsWithFewNodesFirstWhenAllStartAtOnce()
    {
        constexpr int nodes = 124;
        milliseconds first{10000};
        milliseconds last{0};
        std::vector<milliseconds> delays;
        for (int node = 0; node < nodes; ++node) {
            delays.push_back(reading_schedule::firstReadAfter(true, hashOf("10.1.0." + std::to_string(node))));
            first = std::min(first, delays.back());
            last = std::max(last, delays.back());
        }
        const auto readers
            = std::count_if(delays.begin(), delays.end(), [&](milliseconds delay) { return delay < first + milliseconds(300); });
        CPPUNIT_ASSERT(first < milliseconds(400));
        CPPUNIT_ASSERT(last <= milliseconds(2050));
        CPPUNIT_ASSERT(readers * 3 < nodes);
        // After a power cut callers wait already.
        CPPUNIT_ASSERT(reading_schedule::firstReadAfter(false, 7) <= milliseconds(150));
    }

    /// Calls of one node in a time in which the store refuses all of them.
    static int callsDuringOutage(std::size_t rank, duration outage)
    {
        reading_schedule schedule(pace);
        schedule.setRank(rank);
        int calls = 0;
        for (instant now = start; now < start + outage; now += milliseconds(10)) {
            if (schedule.isDue(rank, seconds(5), now)) {
                schedule.started(now);
                schedule.failed(now + milliseconds(5));
                ++calls;
            }
        }
        return calls;
    }

    /// Pattern: the store refuses every node for eight seconds, as when it is overloaded.
    void sparesAStoreThatRefusesAllNodes()
    {
        constexpr seconds outage{8};
        // The first few notice its return soon and tell the others.
        CPPUNIT_ASSERT(callsDuringOutage(0, outage) >= 10);
        // The others call less than once a second: there are thousands of them.
        CPPUNIT_ASSERT(callsDuringOutage(100, outage) < 8);
    }

    void retriesSoonOnceItIsAmongTheFirst()
    {
        reading_schedule schedule(pace);
        schedule.setRank(100);
        for (int i = 0; i < 10; ++i) {
            schedule.started(start);
            schedule.failed(start);
        }
        const instant later = start + milliseconds(1500);
        CPPUNIT_ASSERT(!schedule.isDue(100, seconds(5), later));
        schedule.setRank(1);
        CPPUNIT_ASSERT(schedule.isDue(1, seconds(5), later));
    }

    void waitsLongerAfterEachFailure()
    {
        reading_schedule schedule(pace);
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
