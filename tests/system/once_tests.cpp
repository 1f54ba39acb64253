#include "once_scenario.hpp"
#include "support/test_arguments.hpp"

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

    static void check(once_fault fault)
    {
        const once_tally tally = runOnceScenario(fault, test_support::testSeed());
        CPPUNIT_ASSERT_MESSAGE("the fleet did not start", tally.isStarted);
        CPPUNIT_ASSERT_MESSAGE("no request was answered by a backend server", tally.toldDone > 0);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(tally.firstViolation, 0, tally.violations());
    }

    void runsAtMostOnceWithoutFault()
    {
        check(once_fault::none);
    }
    void runsAtMostOnceWhenBytesToTargetsAreDropped()
    {
        check(once_fault::dropBytesToTarget);
    }
    void runsAtMostOnceWhenBytesFromTargetsAreDropped()
    {
        check(once_fault::dropBytesFromTarget);
    }
    void runsAtMostOnceWhenAnswersAreTruncated()
    {
        check(once_fault::truncateAnswer);
    }
    void runsAtMostOnceWhenTargetsRefuseConnections()
    {
        check(once_fault::refuseConnections);
    }
    void runsAtMostOnceWhenEntryVmsAreKilled()
    {
        check(once_fault::killEntryVm);
    }
    void runsAtMostOnceWhenEntryVmsRestartAtTheSameAddress()
    {
        check(once_fault::restartEntryVm);
    }
    void runsAtMostOnceWhenEntryVmsAreSuspendedAndResumed()
    {
        check(once_fault::suspendEntryVm);
    }
    void runsAtMostOnceWhenAnEntryVmReceivesNoPeerMessages()
    {
        check(once_fault::dropPeerMessages);
    }
    void runsAtMostOnceWhenTargetsShedLoad()
    {
        check(once_fault::shedLoad);
    }
    void runsAtMostOnceWhenTargetsDrain()
    {
        check(once_fault::drain);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(once_tests);

} // namespace
