#include "judge/floor.hpp"
#include "judge/service_judge.hpp"
#include "support/test_arguments.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace flamingofield;

namespace {

constexpr std::size_t targetCount = 5;
const instant start = instant() + seconds(1000);

class service_judge_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(service_judge_tests);
    CPPUNIT_TEST(ejectsATargetThatFailsAlone);
    CPPUNIT_TEST(ejectsNobodyWhenTheWholeServiceFails);
    CPPUNIT_TEST(countsOneSourceAtOneInstantOnce);
    CPPUNIT_TEST(isMovedByNoSinglePeer);
    CPPUNIT_TEST(readmitsAfterTrialsInARow);
    CPPUNIT_TEST(neverCrossesTheFloorWhateverTheEvidence);
    CPPUNIT_TEST_SUITE_END();

    static service_judge makeJudge(int floorSlots)
    {
        judge_policy policy;
        policy.floorSlots = floorSlots;
        service_judge judge(policy);
        std::vector<target_spec> specs(targetCount);
        for (std::size_t i = 0; i < specs.size(); ++i) {
            specs[i].address = {"10.0.0." + std::to_string(i + 1), 7000};
            specs[i].slots = 4;
        }
        judge.setTargets(specs, start);
        return judge;
    }

    static observation see(std::size_t target, observed kind, instant at, std::uint64_t source)
    {
        return {0, target, kind, milliseconds(10), at, source, false};
    }

    /// Gives every target one observation a tick; the sick ones fail.
    static int run(service_judge &judge, instant &now, int ticks, const std::vector<std::size_t> &sick)
    {
        int ejections = 0;
        for (int tick = 0; tick < ticks; ++tick) {
            now += milliseconds(50);
            for (std::size_t i = 0; i < targetCount; ++i) {
                const bool isSick = std::find(sick.begin(), sick.end(), i) != sick.end();
                judge.observe(see(i, isSick ? observed::failed : observed::good, now, static_cast<std::uint64_t>(tick)));
            }
            for (const auto &event : judge.tick(now)) {
                ejections += event.what == judge_event::kind::ejected ? 1 : 0;
            }
        }
        return ejections;
    }

    void ejectsATargetThatFailsAlone()
    {
        service_judge judge = makeJudge(8);
        instant now = start;
        CPPUNIT_ASSERT_EQUAL(0, run(judge, now, 100, {}));
        CPPUNIT_ASSERT_EQUAL(1, run(judge, now, 10, {2}));
        CPPUNIT_ASSERT_EQUAL(0.0, judge.weightOf(2, now));
    }

    void ejectsNobodyWhenTheWholeServiceFails()
    {
        service_judge judge = makeJudge(4);
        instant now = start;
        run(judge, now, 100, {});
        CPPUNIT_ASSERT_EQUAL(0, run(judge, now, 200, {0, 1, 2, 3, 4}));
    }

    void countsOneSourceAtOneInstantOnce()
    {
        service_judge judge = makeJudge(8);
        instant now = start;
        run(judge, now, 100, {});
        for (int i = 0; i < 50; ++i) {
            judge.observe(see(1, observed::failed, now, 7));
        }
        now += milliseconds(50);
        CPPUNIT_ASSERT(judge.tick(now).empty());
    }

    void isMovedByNoSinglePeer()
    {
        service_judge judge = makeJudge(8);
        judge.setMemberCount(7);
        instant now = start;
        for (int tick = 0; tick < 200; ++tick) {
            for (const auto &t : judge.targets()) {
                judge.hearPeer(99, {t.address, 1000.0, {100.0, 100.0}, false}, now);
            }
            CPPUNIT_ASSERT_EQUAL(0, run(judge, now, 1, {}));
        }
    }

    void readmitsAfterTrialsInARow()
    {
        service_judge judge = makeJudge(8);
        instant now = start;
        run(judge, now, 100, {});
        run(judge, now, 10, {2});
        bool isReadmitted = false;
        for (int tick = 0; tick < 600 && !isReadmitted; ++tick) {
            now += milliseconds(50);
            if (judge.takeTrial(2, now)) {
                judge.observe(see(2, observed::good, now, 1));
            }
            for (const auto &event : judge.tick(now)) {
                isReadmitted = isReadmitted || event.what == judge_event::kind::readmitted;
            }
        }
        CPPUNIT_ASSERT(isReadmitted);
        CPPUNIT_ASSERT(judge.weightOf(2, now) < 0.5);
        CPPUNIT_ASSERT(judge.weightOf(2, now + seconds(5)) > 0.9);
    }

    void neverCrossesTheFloorWhateverTheEvidence()
    {
        std::mt19937_64 random(test_support::testSeed());
        for (int round = 0; round < 5000; ++round) {
            std::vector<floor_row> rows(1 + random() % 12);
            int declared = 0;
            for (auto &row : rows) {
                row.slots = 1 + static_cast<int>(random() % 8);
                row.evidence = static_cast<double>(random() % 100);
                row.isSick = random() % 2 == 0;
                row.isEjected = random() % 4 == 0;
                row.isAbsent = random() % 6 == 0;
                declared += row.slots;
            }
            const int floorSlots = static_cast<int>(random() % static_cast<std::uint64_t>(declared + 1));
            const int before = slotsInService(rows);
            int reachable = 0;
            for (const auto &row : rows) {
                reachable += row.isAbsent ? 0 : row.slots;
            }
            const auto decisions = applyFloor(rows, floorSlots);
            for (std::size_t i = 0; i < rows.size(); ++i) {
                rows[i].isEjected = decisions[i] == floor_decision::eject || (rows[i].isEjected && decisions[i] != floor_decision::restore);
            }
            const int after = slotsInService(rows);
            // What is absent cannot be restored; ejections themselves never go below the floor.
            CPPUNIT_ASSERT(after >= std::min(floorSlots, reachable) || after >= before);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(service_judge_tests);

} // namespace
