#include "balance/idle_limit.hpp"
#include "support/test_seed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace flamingofield;

namespace {

const instant start = instant() + seconds(1000);
constexpr seconds defaultLimit{5};

class idle_limit_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(idle_limit_tests);
    CPPUNIT_TEST(returnsTheDefaultLimitWithoutDrops);
    CPPUNIT_TEST(ignoresASingleDrop);
    CPPUNIT_TEST(staysBelowTheIdleTimesOfDroppedConnections);
    CPPUNIT_TEST(returnsToTheDefaultLimit);
    CPPUNIT_TEST(losesFewRequestsWhenTargetsDropIdleConnections);
    CPPUNIT_TEST_SUITE_END();

    void returnsTheDefaultLimitWithoutDrops()
    {
        CPPUNIT_ASSERT(idle_limit().maxIdleTime(defaultLimit, start) == defaultLimit);
    }

    void ignoresASingleDrop()
    {
        idle_limit limit;
        limit.recordDrop(milliseconds(600), start);
        CPPUNIT_ASSERT(limit.maxIdleTime(defaultLimit, start) == defaultLimit);
        limit.recordDrop(milliseconds(600), start + seconds(3));
        CPPUNIT_ASSERT(limit.maxIdleTime(defaultLimit, start + seconds(3)) == defaultLimit);
    }

    void staysBelowTheIdleTimesOfDroppedConnections()
    {
        idle_limit limit;
        limit.recordDrop(milliseconds(600), start);
        limit.recordDrop(milliseconds(900), start);
        CPPUNIT_ASSERT(limit.maxIdleTime(defaultLimit, start) < milliseconds(600));
        limit.recordDrop(milliseconds(400), start + milliseconds(100));
        CPPUNIT_ASSERT(limit.maxIdleTime(defaultLimit, start + milliseconds(100)) < milliseconds(400));
        // A drop of a connection that had been idle for longer must not raise the limit again.
        limit.recordDrop(seconds(4), start + milliseconds(200));
        CPPUNIT_ASSERT(limit.maxIdleTime(defaultLimit, start + milliseconds(200)) < milliseconds(400));
    }

    void returnsToTheDefaultLimit()
    {
        idle_limit limit;
        limit.recordDrop(milliseconds(600), start);
        limit.recordDrop(milliseconds(600), start);
        CPPUNIT_ASSERT(limit.maxIdleTime(defaultLimit, start + seconds(20)) == defaultLimit);
    }

    /// For some seconds targets drop all connections that were idle for 300 ms; a request comes about every half second.
    void losesFewRequestsWhenTargetsDropIdleConnections()
    {
        constexpr milliseconds droppedAfter{300};
        std::mt19937_64 random(test_support::testSeed());
        std::exponential_distribution<double> pause(2.0);
        idle_limit limit;
        int lost = 0;
        int lostWithFixedLimit = 0;
        for (instant now = start; now < start + seconds(6);) {
            const auto idleTime = std::chrono::duration_cast<duration>(std::chrono::duration<double>(pause(random)));
            now += milliseconds(50); // The service has several targets, each with its own connections.
            lostWithFixedLimit += idleTime > droppedAfter && idleTime < defaultLimit ? 1 : 0;
            if (idleTime > droppedAfter && idleTime < limit.maxIdleTime(defaultLimit, now)) {
                ++lost;
                limit.recordDrop(idleTime, now);
            }
        }
        CPPUNIT_ASSERT(lostWithFixedLimit > 40);
        CPPUNIT_ASSERT(lost * 5 < lostWithFixedLimit);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(idle_limit_tests);

} // namespace
