#include "once_scenario.hpp"
#include "support/test_arguments.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace standins;

namespace {

/// Work that must not repeat, under each fault: what ran is compared with what callers were told.
class once_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(once_tests);
    CPPUNIT_TEST(holdsWithoutFault);
    CPPUNIT_TEST(holdsWhenLinksToTargetsAreCut);
    CPPUNIT_TEST(holdsWhenLinksFromTargetsAreCut);
    CPPUNIT_TEST(holdsWhenAnswersAreCutShort);
    CPPUNIT_TEST(holdsWhenTargetsRefuseConnections);
    CPPUNIT_TEST(holdsWhenEntryVmsAreKilled);
    CPPUNIT_TEST(holdsWhenEntryVmsRestartAtTheirAddress);
    CPPUNIT_TEST(holdsWhenEntryVmsFreezeAndWake);
    CPPUNIT_TEST(holdsWhenAnEntryVmHearsNoPeers);
    CPPUNIT_TEST(holdsWhenTargetsShed);
    CPPUNIT_TEST(holdsWhenTargetsDrain);
    CPPUNIT_TEST_SUITE_END();

    static void check(once_fault fault)
    {
        const once_tally tally = runOnceScenario(fault, test_support::testSeed());
        CPPUNIT_ASSERT_MESSAGE("the fleet did not start", tally.isStarted);
        CPPUNIT_ASSERT_MESSAGE("no work was done", tally.toldDone > 0);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(tally.firstViolation, 0, tally.violations());
    }

    void holdsWithoutFault()
    {
        check(once_fault::none);
    }
    void holdsWhenLinksToTargetsAreCut()
    {
        check(once_fault::cutToTarget);
    }
    void holdsWhenLinksFromTargetsAreCut()
    {
        check(once_fault::cutFromTarget);
    }
    void holdsWhenAnswersAreCutShort()
    {
        check(once_fault::cutAnswerShort);
    }
    void holdsWhenTargetsRefuseConnections()
    {
        check(once_fault::refuseConnect);
    }
    void holdsWhenEntryVmsAreKilled()
    {
        check(once_fault::killEntry);
    }
    void holdsWhenEntryVmsRestartAtTheirAddress()
    {
        check(once_fault::restartEntry);
    }
    void holdsWhenEntryVmsFreezeAndWake()
    {
        check(once_fault::freezeEntry);
    }
    void holdsWhenAnEntryVmHearsNoPeers()
    {
        check(once_fault::cutPeers);
    }
    void holdsWhenTargetsShed()
    {
        check(once_fault::shed);
    }
    void holdsWhenTargetsDrain()
    {
        check(once_fault::drain);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(once_tests);

} // namespace
