#include "edge/stop_sequence.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

using namespace flamingofield;

namespace {

const instant start = instant() + seconds(1000);
constexpr seconds usualGrace{6};

class stop_sequence_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stop_sequence_tests);
    CPPUNIT_TEST(doesNothingBeforeItBegins);
    CPPUNIT_TEST(acceptsUntilCachedAddressesExpireThenEndsWithoutRequests);
    CPPUNIT_TEST(waitsForRequestsInFlight);
    CPPUNIT_TEST(abandonsRequestsInTimeForTheirFinalAnswers);
    CPPUNIT_TEST(waitsUntilTheLastAnswersAreReceivedAfterItAbandonedRequests);
    CPPUNIT_TEST(refusesNewRequestsEarlyInAShortGracePeriod);
    CPPUNIT_TEST_SUITE_END();

    struct timed_step
    {
        stop_step step;
        long long atMs;

        bool operator==(const timed_step &other) const
        {
            return step == other.step && atMs == other.atMs;
        }
    };

    /// Steps other than none, with the milliseconds after begin() at which they came.
    /// @param pendingUntil time after begin() at which the last request is answered, unless it is abandoned earlier
    /// @param receivedAfter time from that answer until its client has received it
    static std::vector<timed_step> stepsOf(duration pendingUntil, duration receivedAfter = duration::zero(), duration grace = usualGrace)
    {
        stop_sequence stop;
        stop.begin(start);
        std::vector<timed_step> steps;
        duration answeredAt = pendingUntil;
        for (duration since{}; since < grace; since += milliseconds(50)) {
            const stop_step step = stop.next(grace, since < answeredAt + receivedAfter ? 1 : 0, start + since);
            answeredAt = step == stop_step::abandon ? std::min(answeredAt, since) : answeredAt;
            if (step != stop_step::none) {
                steps.push_back({step, toMilliseconds(since)});
            }
            if (step == stop_step::end) {
                break;
            }
        }
        return steps;
    }

    void doesNothingBeforeItBegins()
    {
        stop_sequence stop;
        CPPUNIT_ASSERT(stop.next(usualGrace, 0, start) == stop_step::none);
        CPPUNIT_ASSERT(!stop.isRunning());
    }

    void acceptsUntilCachedAddressesExpireThenEndsWithoutRequests()
    {
        CPPUNIT_ASSERT((stepsOf(duration::zero()) == std::vector<timed_step>{{stop_step::refuseNew, 2200}, {stop_step::end, 2350}}));
    }

    void waitsForRequestsInFlight()
    {
        CPPUNIT_ASSERT((stepsOf(seconds(4)) == std::vector<timed_step>{{stop_step::refuseNew, 2200}, {stop_step::end, 4100}}));
    }

    void abandonsRequestsInTimeForTheirFinalAnswers()
    {
        CPPUNIT_ASSERT((stepsOf(seconds(60))
                        == std::vector<timed_step>{{stop_step::refuseNew, 2200}, {stop_step::abandon, 5550}, {stop_step::end, 5700}}));
    }

    /// Guards against answers that are cut because the process ends while they are still being written.
    void waitsUntilTheLastAnswersAreReceivedAfterItAbandonedRequests()
    {
        CPPUNIT_ASSERT(
            (stepsOf(seconds(3), milliseconds(1500)) == std::vector<timed_step>{{stop_step::refuseNew, 2200}, {stop_step::end, 4600}}));
        CPPUNIT_ASSERT((stepsOf(seconds(60), milliseconds(200))
                        == std::vector<timed_step>{{stop_step::refuseNew, 2200}, {stop_step::abandon, 5550}, {stop_step::end, 5850}}));
        // The process ends by itself before it is killed, whatever has not been received.
        CPPUNIT_ASSERT((stepsOf(seconds(3), seconds(60))
                        == std::vector<timed_step>{{stop_step::refuseNew, 2200}, {stop_step::abandon, 5550}, {stop_step::end, 5900}}));
    }

    /// Guards against requests that are taken until the process is killed, because the times of the steps exceed the grace period.
    void refusesNewRequestsEarlyInAShortGracePeriod()
    {
        CPPUNIT_ASSERT((stepsOf(seconds(60), duration::zero(), seconds(2))
                        == std::vector<timed_step>{{stop_step::refuseNew, 800}, {stop_step::abandon, 1550}, {stop_step::end, 1700}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stop_sequence_tests);

} // namespace
