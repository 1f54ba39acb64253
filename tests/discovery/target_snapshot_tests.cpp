#include "discovery/target_snapshot.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingofield;

namespace {

class target_snapshot_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(target_snapshot_tests);
    CPPUNIT_TEST(distinguishesIncarnationsWithTheSameId);
    CPPUNIT_TEST_SUITE_END();

    static target_entry entry(const std::string &id, std::uint16_t port)
    {
        target_entry made;
        made.id = id;
        made.service = "s";
        made.address = {"10.0.0.1", port};
        return made;
    }

    void distinguishesIncarnationsWithTheSameId()
    {
        const target_snapshot first{1, {entry("a", 1)}};
        target_snapshot again{2, {entry("a", 1)}};
        CPPUNIT_ASSERT_EQUAL(digestOf(first), digestOf(again));
        again.targets[0].startedAtMs = 5;
        CPPUNIT_ASSERT(digestOf(first) != digestOf(again));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_snapshot_tests);

} // namespace
