#include "balance/outcome_window.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingofield;

namespace {

const instant start = instant() + seconds(1000);

class outcome_window_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(outcome_window_tests);
    CPPUNIT_TEST(addsCountsReportedByPeers);
    CPPUNIT_TEST(forgetsAfterAFewSeconds);
    CPPUNIT_TEST(keepsServicesApart);
    CPPUNIT_TEST(countsOverdueRequestsAsUnserved);
    CPPUNIT_TEST_SUITE_END();

    void addsCountsReportedByPeers()
    {
        outcome_window window;
        for (int i = 0; i < 10; ++i) {
            window.count("s", i < 9, start);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, window.unservedShare("s", start), 1e-9); // One of ten may be chance.
        window.applyPeerReport(7, "s", {5, 25}, start);
        window.applyPeerReport(7, "s", {6, 24}, start); // Replaces the peer's earlier report.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(20.0 / 40.0, window.unservedShare("s", start), 1e-9);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(9), window.own("s", start).served);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, window.unservedShare("s", start + milliseconds(1500)), 1e-9);
    }

    void forgetsAfterAFewSeconds()
    {
        outcome_window window;
        for (int i = 0; i < 4; ++i) {
            window.count("s", false, start);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, window.unservedShare("s", start + milliseconds(2000)), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, window.unservedShare("s", start + milliseconds(3500)), 1e-9);
    }

    /// Targets stop answering, and their requests end only at the callers' deadlines.
    void countsOverdueRequestsAsUnserved()
    {
        outcome_window window;
        for (int i = 0; i < 84; ++i) {
            window.count("s", true, start);
        }
        for (int i = 0; i < 16; ++i) {
            window.addOverdue("s");
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.12, window.unservedShare("s", start), 1e-9); // 16 less its square root.
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(16), window.own("s", start).unserved);
        for (int i = 0; i < 16; ++i) {
            window.removeOverdue("s");
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, window.unservedShare("s", start), 1e-9);
    }

    void keepsServicesApart()
    {
        outcome_window window;
        for (int i = 0; i < 9; ++i) {
            window.count("s", false, start);
        }
        CPPUNIT_ASSERT(window.unservedShare("s", start) > 0.5);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, window.unservedShare("t", start), 1e-9);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(outcome_window_tests);

} // namespace
