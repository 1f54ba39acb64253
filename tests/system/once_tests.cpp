#include "idempotency_scenario.hpp"
#include "support/test_seed.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace standins;

namespace {

/// Non-idempotent requests under each fault: the runs on the backend servers are compared with the answers that callers got.
class once_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(once_tests);
    CPPUNIT_TEST(runsAtMostOnceWithoutFault);
    CPPUNIT_TEST(runsAtMostOnceWhenBytesToTargetsAreDropped);
    CPPUNIT_TEST(runsAtMostOnceWhenBytesFromTargetsAreDropped);
    CPPUNIT_TEST(runsAtMostOnceWhenAnswersAreTruncated);
    CPPUNIT_TEST(runsAtMostOnceWhenTargetsRefuseConnections);
    CPPUNIT_TEST(runsAtMostOnceWhenEntryVmsAreKilled);
    CPPUNIT_TEST(runsAtMostOnceWhenEntryVmsRestartAtTheSameAddress);
    CPPUNIT_TEST(runsAtMostOnceWhenEntryVmsAreSuspendedAndResumed);
    CPPUNIT_TEST(runsAtMostOnceWhenAnEntryVmReceivesNoPeerMessages);
    CPPUNIT_TEST(runsAtMostOnceWhenTargetsShedLoad);
    CPPUNIT_TEST(runsAtMostOnceWhenTargetsDrain);
    CPPUNIT_TEST_SUITE_END();

    static void check(idempotency_fault fault)
    {
        const idempotency_result result = runIdempotencyScenario(fault, test_support::testSeed());
        CPPUNIT_ASSERT_MESSAGE("the fleet did not start", result.isStarted);
        CPPUNIT_ASSERT_MESSAGE("no request was answered by a backend server", result.answeredDone > 0);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.firstViolation, 0, result.violations());
    }

    void runsAtMostOnceWithoutFault()
    {
        check(idempotency_fault::none);
    }
    void runsAtMostOnceWhenBytesToTargetsAreDropped()
    {
        check(idempotency_fault::dropBytesToTarget);
    }
    void runsAtMostOnceWhenBytesFromTargetsAreDropped()
    {
        check(idempotency_fault::dropBytesFromTarget);
    }
    void runsAtMostOnceWhenAnswersAreTruncated()
    {
        check(idempotency_fault::truncateAnswer);
    }
    void runsAtMostOnceWhenTargetsRefuseConnections()
    {
        check(idempotency_fault::refuseConnections);
    }
    void runsAtMostOnceWhenEntryVmsAreKilled()
    {
        check(idempotency_fault::killEntryVm);
    }
    void runsAtMostOnceWhenEntryVmsRestartAtTheSameAddress()
    {
        check(idempotency_fault::restartEntryVm);
    }
    void runsAtMostOnceWhenEntryVmsAreSuspendedAndResumed()
    {
        check(idempotency_fault::suspendEntryVm);
    }
    void runsAtMostOnceWhenAnEntryVmReceivesNoPeerMessages()
    {
        check(idempotency_fault::dropPeerMessages);
    }
    void runsAtMostOnceWhenTargetsShedLoad()
    {
        check(idempotency_fault::shedLoad);
    }
    void runsAtMostOnceWhenTargetsDrain()
    {
        check(idempotency_fault::drain);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(once_tests);

} // namespace
