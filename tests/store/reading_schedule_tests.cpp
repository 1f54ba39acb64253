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
    CPPUNIT_TEST(readsAtOnceAfterARestartOnlyWhereNoOtherReadsFirst);
    CPPUNIT_TEST(takesTurnsWhileTheStoreRefusesAllNodesOfALargeFleet);
    CPPUNIT_TEST(readsWithinTheLimitOnANodeThatHearsNoOther);
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

    /// All nodes of a large fleet lose power and start again while callers wait.
    void readsAtOnceAfterARestartOnlyWhereNoOtherReadsFirst()
    {
        constexpr int nodes = 300;
        int early = 0;
        for (int node = 0; node < nodes; ++node) {
            const std::uint64_t seed = hashOf("10.1.0." + std::to_string(node));
            CPPUNIT_ASSERT(reading_schedule::initialReadDelay(false, seed, start_knowledge::firstInLine) <= milliseconds(150));
            CPPUNIT_ASSERT(reading_schedule::initialReadDelay(false, seed, start_knowledge::alone) <= milliseconds(600));
            const milliseconds delay = reading_schedule::initialReadDelay(false, seed, start_knowledge::behindOthers);
            CPPUNIT_ASSERT(delay <= milliseconds(2050));
            early += delay <= milliseconds(500) ? 1 : 0;
        }
        CPPUNIT_ASSERT(early * 10 < nodes);
    }

    /// The first positions go on trying; that of the others some node tries often is enough to notice what only the first cannot reach.
    void takesTurnsWhileTheStoreRefusesAllNodesOfALargeFleet()
    {
        constexpr std::size_t nodes = 300;
        constexpr seconds outage{8};
        std::vector<reading_schedule> schedules(nodes, reading_schedule(intervals));
        std::vector<duration> reads;
        for (duration passed{}; passed < outage; passed += milliseconds(10)) {
            for (std::size_t i = 0; i < nodes; ++i) {
                reading_schedule &schedule = schedules[i];
                schedule.setPosition(100);
                schedule.setCrowd(nodes, static_cast<double>(i) / nodes);
                if (schedule.isDue(100, passed, start + passed)) {
                    schedule.started(start + passed);
                    schedule.failed(start + passed + milliseconds(5));
                    reads.push_back(passed);
                }
            }
        }
        CPPUNIT_ASSERT(reads.front() <= milliseconds(1600));
        for (std::size_t i = 1; i < reads.size(); ++i) {
            CPPUNIT_ASSERT(reads[i] - reads[i - 1] <= milliseconds(100));
        }
        // The same order as the six first positions together, which call every 0.8 s.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(reads.size()), reads.size() <= 200);
    }

    void readsWithinTheLimitOnANodeThatHearsNoOther()
    {
        reading_schedule schedule(intervals);
        schedule.setCrowd(300, 0.9);
        CPPUNIT_ASSERT(!schedule.isDue(4000, milliseconds(1500), start));
        CPPUNIT_ASSERT(schedule.isDue(2, milliseconds(1500), start));
        schedule.setCrowd(0, 0.9);
        CPPUNIT_ASSERT(schedule.isDue(4000, milliseconds(1500), start));
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
