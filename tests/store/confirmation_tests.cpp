#include "store/confirmation.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingofield;

namespace {

const instant start = instant() + seconds(1000);

class confirmation_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(confirmation_tests);
    CPPUNIT_TEST(takesEachConfirmationOfAReaderOnce);
    CPPUNIT_TEST(takesAnotherReadersOnlyIfItIsCertainlyLater);
    CPPUNIT_TEST(takesConfirmationsOfEarlierReleasesOnlyIfTheyAreCertainlyLater);
    CPPUNIT_TEST_SUITE_END();

    static instant at(int ms)
    {
        return start + milliseconds(ms);
    }

    static int ageAt(const confirmation &confirmed, int ms)
    {
        return static_cast<int>(toMilliseconds(confirmed.age(at(ms))));
    }

    void takesEachConfirmationOfAReaderOnce()
    {
        confirmation confirmed(start, 1);
        CPPUNIT_ASSERT(!confirmed.at());
        confirmed.recordTold({2, 65535}, at(100));
        confirmed.recordTold({2, 65535}, at(900));
        confirmed.recordTold({2, 65534}, at(900));
        CPPUNIT_ASSERT_EQUAL(900, ageAt(confirmed, 1000));
        confirmed.recordTold({2, 0}, at(600));
        CPPUNIT_ASSERT_EQUAL(400, ageAt(confirmed, 1000));
        confirmed.record({1, 4}, at(700));
        CPPUNIT_ASSERT_EQUAL(300, ageAt(confirmed, 1000));
        CPPUNIT_ASSERT(!confirmed.recordTold({1, 4}, at(990)));
        CPPUNIT_ASSERT_EQUAL(300, ageAt(confirmed, 1000));
    }

    void takesAnotherReadersOnlyIfItIsCertainlyLater()
    {
        confirmation confirmed(start, 1);
        confirmed.recordTold({2, 7}, at(100));
        confirmed.recordTold({3, 9}, at(250));
        CPPUNIT_ASSERT_EQUAL(900, ageAt(confirmed, 1000));
        confirmed.recordTold({3, 10}, at(400));
        CPPUNIT_ASSERT_EQUAL(600, ageAt(confirmed, 1000));
    }

    void takesConfirmationsOfEarlierReleasesOnlyIfTheyAreCertainlyLater()
    {
        confirmation confirmed(start, 1);
        confirmed.recordTold({}, at(100));
        confirmed.recordTold({}, at(250));
        CPPUNIT_ASSERT_EQUAL(900, ageAt(confirmed, 1000));
        confirmed.recordTold({}, at(400));
        CPPUNIT_ASSERT_EQUAL(600, ageAt(confirmed, 1000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(confirmation_tests);

} // namespace
