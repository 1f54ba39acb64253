#include "discovery/target_snapshot.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingofield;

namespace {

const instant start = instant() + seconds(1000);

class target_snapshot_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(target_snapshot_tests);
    CPPUNIT_TEST(removesATargetThatIsMissingWithoutAnOutage);
    CPPUNIT_TEST(keepsMissingTargetsForTheRenewalTimeAfterAnOutage);
    CPPUNIT_TEST(removesAMissingTargetAfterASlowRead);
    CPPUNIT_TEST(doesNotKeepDrainingTargetsOrReusedAddresses);
    CPPUNIT_TEST(distinguishesIncarnationsWithTheSameId);
    CPPUNIT_TEST_SUITE_END();

    static target_entry entry(const std::string &id, std::uint16_t port, bool isDraining = false)
    {
        target_entry made;
        made.id = id;
        made.service = "s";
        made.address = {"10.0.0.1", port};
        made.isDraining = isDraining;
        return made;
    }

    void removesATargetThatIsMissingWithoutAnOutage()
    {
        missing_target_guard guard;
        const target_snapshot both{1, {entry("a", 1), entry("b", 2)}};
        guard.addMissingTargets({}, both, start);
        const auto next = guard.addMissingTargets(both, {2, {entry("a", 1)}}, start + milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), next.targets.size());
    }

    void keepsMissingTargetsForTheRenewalTimeAfterAnOutage()
    {
        missing_target_guard guard;
        const target_snapshot both{1, {entry("a", 1), entry("b", 2)}};
        guard.addMissingTargets({}, both, start);
        const instant registryBackAt = start + seconds(5);
        const auto kept = guard.addMissingTargets(both, {2, {entry("a", 1)}}, registryBackAt);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), kept.targets.size());
        const auto later = guard.addMissingTargets(kept, {3, {entry("a", 1)}}, registryBackAt + milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), later.targets.size());
        const auto after = guard.addMissingTargets(later, {4, {entry("a", 1)}}, registryBackAt + missing_target_guard::renewalTime);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), after.targets.size());
    }

    /// One read times out at a slow store just when a target leaves. Its registration cannot have expired in so short a time, so
    /// the target is not kept.
    void removesAMissingTargetAfterASlowRead()
    {
        missing_target_guard guard;
        const target_snapshot both{1, {entry("a", 1), entry("b", 2)}};
        guard.addMissingTargets({}, both, start);
        const auto next = guard.addMissingTargets(both, {2, {entry("a", 1)}}, start + milliseconds(1700));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), next.targets.size());
    }

    void doesNotKeepDrainingTargetsOrReusedAddresses()
    {
        missing_target_guard guard;
        const target_snapshot before{1, {entry("drains", 1, true), entry("gone", 2)}};
        guard.addMissingTargets({}, before, start);
        const auto next = guard.addMissingTargets(before, {2, {entry("new", 2)}}, start + seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), next.targets.size());
        CPPUNIT_ASSERT_EQUAL(std::string("new"), next.targets[0].id);
    }

    void distinguishesIncarnationsWithTheSameId()
    {
        target_snapshot first{1, {entry("a", 1)}};
        target_snapshot again{2, {entry("a", 1)}};
        CPPUNIT_ASSERT_EQUAL(digestOf(first), digestOf(again));
        again.targets[0].startedAtMs = 5;
        CPPUNIT_ASSERT(digestOf(first) != digestOf(again));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_snapshot_tests);

} // namespace
