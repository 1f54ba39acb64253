#include "balance/target_table.hpp"
#include "support/test_arguments.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>

using namespace flamingofield;

namespace {

const instant start = instant() + seconds(1000);
constexpr milliseconds work{300};

class target_table_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(target_table_tests);
    CPPUNIT_TEST(neverExceedsTheSlotsThatPeersLeave);
    CPPUNIT_TEST(sendsNothingToLeavingTargets);
    CPPUNIT_TEST(waitsRatherThanUseASickTargetThatIsAlwaysFree);
    CPPUNIT_TEST(keepsSoundSlotsForUrgentWorkWhenSickTargetsAreFree);
    CPPUNIT_TEST(keepsMostUndisturbedTargetsInUse);
    CPPUNIT_TEST(leavesFewerTargetsUnusedWhileManyRequestsFail);
    CPPUNIT_TEST(failsLessThanRoundRobinWhenTargetsFailInPhases);
    CPPUNIT_TEST(restsATargetThatShed);
    CPPUNIT_TEST(learnsFromPeersWhichTargetsFail);
    CPPUNIT_TEST(learnsFromPeersWhichTargetsResetNewConnections);
    CPPUNIT_TEST(triesUnusedTargetsLessOftenWhenEachHasAFirstTrier);
    CPPUNIT_TEST(leavesATargetAloneWhoseAddressAnotherHasTaken);
    CPPUNIT_TEST(triesOnceWhatBecomesDueForAllNodesAtOnce);
    CPPUNIT_TEST(takesARequestThatHangsElsewhereForNoFurtherUse);
    CPPUNIT_TEST(takesOverTheBeliefsOfABusierNode);
    CPPUNIT_TEST(prefersTheOwnDataCentreAmongEquals);
    CPPUNIT_TEST_SUITE_END();

    static target_snapshot snapshot(int targets, int slots = 4)
    {
        target_snapshot made;
        made.revision = 1;
        for (int i = 0; i < targets; ++i) {
            target_entry entry;
            entry.id = "t" + std::to_string(i);
            entry.service = "s";
            entry.dataCentre = i % 2 == 0 ? "here" : "there";
            entry.address = {"10.0.0." + std::to_string(i + 1), 7000};
            entry.slots = slots;
            made.targets.push_back(entry);
        }
        return made;
    }

    static target_query query()
    {
        target_query made;
        made.service = "s";
        made.usualWork = work;
        made.timeLeft = seconds(4);
        made.aimLeft = milliseconds(1500);
        return made;
    }

    static std::uint64_t keyOf(const target_table &table, const std::string &id)
    {
        for (const auto &[key, row] : table.rows()) {
            if (row.entry.id == id) {
                return key;
            }
        }
        return 0;
    }

    void neverExceedsTheSlotsThatPeersLeave()
    {
        target_table table("here", 1);
        table.apply(snapshot(2), start);
        table.told(7, {}, start);
        table.told(7, {{keyOf(table, "t0"), 3, {0, 0, 0}}, {keyOf(table, "t1"), 4, {0, 0, 0}}}, start);
        const auto choice = table.choose(query(), start);
        CPPUNIT_ASSERT(choice.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("t0"), choice->row->entry.id);
        table.started(*choice->row);
        CPPUNIT_ASSERT(!table.choose(query(), start).has_value());
        // What a silent peer told lapses.
        CPPUNIT_ASSERT(table.choose(query(), start + seconds(2)).has_value());
    }

    void sendsNothingToLeavingTargets()
    {
        target_table table("here", 1);
        auto both = snapshot(2);
        table.apply(both, start);
        both.targets[0].isDraining = true;
        table.apply(both, start);
        for (int i = 0; i < 20; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::string("t1"), table.choose(query(), start)->row->entry.id);
        }
        both.targets.erase(both.targets.begin() + 1);
        table.apply(both, start);
        CPPUNIT_ASSERT(!table.choose(query(), start).has_value());
    }

    /// Pattern: a target that fails within milliseconds is always free and draws the work of all busy ones.
    void waitsRatherThanUseASickTargetThatIsAlwaysFree()
    {
        target_table table("here", 1);
        table.apply(snapshot(3), start);
        target_row *sick = table.find(keyOf(table, "t2"));
        for (int i = 0; i < 6; ++i) {
            table.started(*sick);
            table.finished(*sick, target_outcome::failed, milliseconds(3), work, start);
        }
        sick->usedAt = start;
        for (int i = 0; i < 8; ++i) {
            const auto choice = table.choose(query(), start);
            CPPUNIT_ASSERT(choice.has_value() && choice->row != sick);
            table.started(*choice->row);
        }
        CPPUNIT_ASSERT(!table.choose(query(), start).has_value());
        // With a long line before it the request would come too late elsewhere, so it takes the risk.
        auto urgent = query();
        urgent.lineWait = seconds(4);
        CPPUNIT_ASSERT(table.choose(urgent, start).has_value());
    }

    /// Pattern: a burst of long, least urgent work fills the sound targets while the sick ones stay free.
    void keepsSoundSlotsForUrgentWorkWhenSickTargetsAreFree()
    {
        target_table table("here", 1);
        table.apply(snapshot(4), start);
        for (const std::string id : {"t2", "t3"}) {
            target_row *sick = table.find(keyOf(table, id));
            for (int i = 0; i < 6; ++i) {
                table.started(*sick);
                table.finished(*sick, target_outcome::failed, milliseconds(3), work, start);
            }
            sick->usedAt = start;
        }
        constexpr int reserved = 2;
        auto least = query();
        least.reservedSlots = reserved;
        int taken = 0;
        while (const auto choice = table.choose(least, start)) {
            CPPUNIT_ASSERT(choice->row->entry.id < "t2");
            table.started(*choice->row);
            ++taken;
        }
        CPPUNIT_ASSERT_EQUAL(2 * 4 - reserved, taken);
        for (int i = 0; i < reserved; ++i) {
            const auto urgent = table.choose(query(), start);
            CPPUNIT_ASSERT(urgent.has_value() && urgent->row->entry.id < "t2");
            table.started(*urgent->row);
        }
    }

    /// Pattern: a third of the targets look sick while the rest could carry the load alone.
    void keepsMostUndisturbedTargetsInUse()
    {
        constexpr int targets = 10;
        target_table table("here", 1);
        table.apply(snapshot(targets), start);
        for (int i = 0; i < 5; ++i) {
            target_row *sick = table.find(keyOf(table, "t" + std::to_string(i)));
            for (int failure = 0; failure < 5; ++failure) {
                table.started(*sick);
                table.finished(*sick, target_outcome::failed, milliseconds(3), work, start);
            }
        }
        std::map<std::string, instant> usedAt;
        for (instant now = start; now < start + seconds(6); now += milliseconds(50)) {
            const auto choice = table.choose(query(), now);
            CPPUNIT_ASSERT(choice.has_value());
            target_row &row = *choice->row;
            usedAt[row.entry.id] = now;
            table.started(row);
            const bool isSick = row.entry.id < "t5";
            table.finished(row, isSick ? target_outcome::failed : target_outcome::served, work, work, now);
            if (now - start >= seconds(2)) {
                int used = 0;
                for (const auto &[id, at] : usedAt) {
                    used += now - at <= seconds(2) ? 1 : 0;
                }
                CPPUNIT_ASSERT(used >= 7); // floor of seven tenths within two seconds
            }
        }
    }

    /// Targets in use within two seconds when three in ten are believed to be sick.
    /// @param disturbed targets to which the connections of this node break
    /// @param disturbedElsewhere targets to which a peer's break, as it tells
    static std::size_t targetsInUse(double unservedShare, int disturbed = 0, int disturbedElsewhere = 0)
    {
        constexpr int targets = 40;
        target_table table("here", 1);
        table.apply(snapshot(targets), start);
        for (int i = 0; i < targets * 3 / 10; ++i) {
            target_row *sick = table.find(keyOf(table, "t" + std::to_string(i)));
            sick->health.observe(failedAnswer, start);
            sick->health.observe(failedAnswer, start);
        }
        for (int i = 0; i < disturbed; ++i) {
            target_row *cut = table.find(keyOf(table, "t" + std::to_string(targets - 1 - i)));
            table.started(*cut);
            table.finished(*cut, target_outcome::broken, milliseconds(200), work, start);
        }
        constexpr std::uint64_t peer = 9;
        target_table elsewhere("there", 2);
        elsewhere.apply(snapshot(targets), start);
        table.told(peer, elsewhere.tell(start), start);
        for (int i = 0; i < disturbedElsewhere; ++i) {
            target_row *cut = elsewhere.find(keyOf(elsewhere, "t" + std::to_string(targets - 1 - i)));
            elsewhere.started(*cut);
            elsewhere.finished(*cut, target_outcome::broken, milliseconds(200), work, start);
        }
        table.told(peer, elsewhere.tell(start), start);
        target_query asked = query();
        asked.unservedShare = unservedShare;
        std::map<std::string, instant> usedAt;
        const instant end = start + seconds(4);
        for (instant now = start; now < end; now += milliseconds(10)) {
            const auto choice = table.choose(asked, now);
            usedAt[choice->row->entry.id] = now;
            table.started(*choice->row);
            const bool isSick = choice->row->health.sickness(now) > 0.5;
            table.finished(*choice->row, isSick ? target_outcome::failed : target_outcome::served, work, work, now);
        }
        return static_cast<std::size_t>(
            std::count_if(usedAt.begin(), usedAt.end(), [&](const auto &entry) { return end - entry.second <= seconds(2); }));
    }

    /// Pattern: many targets fail for a few nodes only, so that the others cannot tell which ones are undisturbed.
    void leavesFewerTargetsUnusedWhileManyRequestsFail()
    {
        CPPUNIT_ASSERT(targetsInUse(0.02) >= 28); // Seven tenths.
        CPPUNIT_ASSERT(targetsInUse(0.12) >= 38); // A tenth of the three tenths, and what is due at the moment.
        // Disturbances show before requests fail.
        CPPUNIT_ASSERT(targetsInUse(0.02, 4) >= 31); // Of 36 without a disturbance four may stay unused, one is due.
        // One hub sees them first: links are cut between some nodes and some targets.
        CPPUNIT_ASSERT(targetsInUse(0.02, 0, 4) >= 31);
    }

    /// Pattern: at any time three in ten targets fail three quarters of their requests for some seconds.
    void failsLessThanRoundRobinWhenTargetsFailInPhases()
    {
        constexpr int targets = 14;
        constexpr int requests = 3000;
        constexpr double failingShare = 0.75;
        std::mt19937_64 random(test_support::testSeed());
        std::uniform_real_distribution<double> chance(0.0, 1.0);
        target_table table("here", 1);
        table.apply(snapshot(targets), start);
        std::vector<instant> phaseEnd(targets, start);
        std::vector<bool> isFailing(targets, false);
        int failed = 0;
        int failedInTurn = 0;
        instant now = start;
        for (int i = 0; i < requests; ++i, now += milliseconds(20)) {
            for (int t = 0; t < targets; ++t) {
                if (now >= phaseEnd[static_cast<std::size_t>(t)]) {
                    isFailing[static_cast<std::size_t>(t)] = chance(random) < 0.3;
                    phaseEnd[static_cast<std::size_t>(t)] = now + milliseconds(3000 + static_cast<int>(chance(random) * 6000));
                }
            }
            const auto fails = [&](int t) { return isFailing[static_cast<std::size_t>(t)] && chance(random) < failingShare; };
            failedInTurn += fails(i % targets) ? 1 : 0;
            const auto choice = table.choose(query(), now);
            CPPUNIT_ASSERT(choice.has_value());
            const bool hasFailed = fails(std::stoi(choice->row->entry.id.substr(1)));
            failed += hasFailed ? 1 : 0;
            table.started(*choice->row);
            table.finished(*choice->row, hasFailed ? target_outcome::failed : target_outcome::served, work, work, now);
        }
        // The baseline fails about 22 in 100; the choice must avoid more than half of that.
        CPPUNIT_ASSERT(failedInTurn > requests / 8);
        CPPUNIT_ASSERT(failed * 2 < failedInTurn);
    }

    void restsATargetThatShed()
    {
        target_table table("here", 1);
        table.apply(snapshot(1), start);
        const auto choice = table.choose(query(), start);
        table.started(*choice->row);
        table.finished(*choice->row, target_outcome::shed, milliseconds(2), work, start);
        CPPUNIT_ASSERT(!table.choose(query(), start + milliseconds(20)).has_value());
        CPPUNIT_ASSERT(table.choose(query(), start + milliseconds(500)).has_value());
        CPPUNIT_ASSERT(table.find(keyOf(table, "t0"))->health.sickness(start) < 0.1);
    }

    void learnsFromPeersWhichTargetsFail()
    {
        target_table table("here", 1);
        table.apply(snapshot(2), start);
        const std::uint64_t key = keyOf(table, "t0");
        table.told(7, {{key, 0, {10, 100, 0}}}, start);
        CPPUNIT_ASSERT(table.find(key)->health.sickness(start) < 0.2); // The first message sums up the past.
        table.told(7, {{key, 0, {10, 102, 0}}}, start);
        CPPUNIT_ASSERT(table.find(key)->health.sickness(start) > 0.8);
    }

    /// Pattern: some targets accept requests and reset their connections, for several seconds.
    void learnsFromPeersWhichTargetsResetNewConnections()
    {
        target_table here("here", 1);
        target_table there("there", 2);
        here.apply(snapshot(2), start);
        there.apply(snapshot(2), start);
        const std::uint64_t key = keyOf(here, "t0");
        there.told(1, here.tell(start), start);
        for (int i = 0; i < 3; ++i) {
            here.started(*here.find(key));
            here.finished(*here.find(key), target_outcome::reset, milliseconds(3), work, start);
        }
        there.told(1, here.tell(start), start);
        CPPUNIT_ASSERT(here.find(key)->health.sickness(start) > 0.8);
        CPPUNIT_ASSERT(there.find(key)->health.sickness(start) > 0.4);
        // A connection that was lost while it was idle says nothing to others.
        const std::uint64_t other = keyOf(here, "t1");
        here.started(*here.find(other));
        here.finished(*here.find(other), target_outcome::broken, milliseconds(3), work, start);
        there.told(1, here.tell(start), start);
        CPPUNIT_ASSERT(there.find(other)->health.sickness(start) < 0.1);
    }

    /// Requests that are sent to unused targets when six nodes choose by turns and hear of each other 200 ms later.
    static int trialsOf(bool hasFirstTriers)
    {
        constexpr std::size_t nodes = 6;
        constexpr int targets = 40;
        std::vector<target_table> tables;
        for (std::size_t i = 0; i < nodes; ++i) {
            tables.emplace_back("here", i + 1);
            tables.back().apply(snapshot(targets), start);
            tables.back().setTrials(hasFirstTriers ? trial_duty{nodes, i} : trial_duty{1, 0});
            for (int sick = 0; sick < targets / 2; ++sick) {
                tables.back().find(keyOf(tables.back(), "t" + std::to_string(sick)))->health.observe(failedAnswer, start);
            }
        }
        int trials = 0;
        int step = 0;
        for (instant now = start; now < start + seconds(10); now += milliseconds(10), ++step) {
            target_table &table = tables[static_cast<std::size_t>(step) % nodes];
            const auto choice = table.choose(query(), now);
            trials += choice && choice->isTrial && now - start > seconds(3) ? 1 : 0;
            if (choice) {
                table.started(*choice->row);
                table.finished(*choice->row, target_outcome::served, milliseconds(1), work, now);
            }
            for (std::size_t i = 0; step % 20 == 0 && i < nodes; ++i) {
                for (std::size_t peer = 0; peer < nodes; ++peer) {
                    if (peer != i) {
                        tables[i].told(peer, tables[peer].tell(now), now);
                    }
                }
            }
        }
        return trials;
    }

    /// Pattern: several nodes notice at the same time that a target is unused, and all of them try it.
    void triesUnusedTargetsLessOftenWhenEachHasAFirstTrier()
    {
        const int withoutFirstTriers = trialsOf(false);
        CPPUNIT_ASSERT(withoutFirstTriers > 0);
        CPPUNIT_ASSERT(trialsOf(true) * 10 < withoutFirstTriers * 9);
    }

    /// Pattern: a target ends without a word, another process takes its address and rejects what was meant for it, and the
    /// registry lists it for seconds more.
    void leavesATargetAloneWhoseAddressAnotherHasTaken()
    {
        constexpr std::size_t nodes = 4;
        std::vector<target_table> tables;
        for (std::size_t i = 0; i < nodes; ++i) {
            tables.emplace_back("here", i + 1);
            tables.back().apply(snapshot(4), start);
            tables.back().setTrials({nodes, i});
            tables.back().told((i + 1) % nodes, {}, start);
        }
        int rejected = 0;
        int step = 0;
        for (instant now = start; now < start + seconds(6); now += milliseconds(10), ++step) {
            const std::size_t node = static_cast<std::size_t>(step) % nodes;
            target_table &table = tables[node];
            const auto choice = table.choose(query(), now);
            CPPUNIT_ASSERT(choice.has_value());
            const bool isGone = choice->row->entry.id == "t0";
            rejected += isGone ? 1 : 0;
            table.started(*choice->row);
            table.finished(*choice->row, isGone ? target_outcome::replaced : target_outcome::served, milliseconds(2), work, now);
            for (std::size_t to = 0; to < nodes; ++to) {
                if (to != node) {
                    tables[to].told(node, table.tell(now), now);
                }
            }
        }
        CPPUNIT_ASSERT(rejected >= 1);
        CPPUNIT_ASSERT(rejected <= 4); // One every two seconds, in which the registry must have heard, and the first.
    }

    /// Pattern: many requests begin to fail, and all hubs find that the same targets, left out so far, must be used.
    void triesOnceWhatBecomesDueForAllNodesAtOnce()
    {
        constexpr std::size_t nodes = 4;
        constexpr int targets = 40;
        constexpr int sickTargets = 12;
        std::vector<target_table> tables;
        for (std::size_t i = 0; i < nodes; ++i) {
            tables.emplace_back("here", i + 1);
            tables.back().apply(snapshot(targets), start);
            tables.back().setTrials({nodes, i});
        }
        const auto tellAll = [&](instant now) {
            for (std::size_t to = 0; to < nodes; ++to) {
                for (std::size_t from = 0; from < nodes; ++from) {
                    if (from != to) {
                        tables[to].told(from, tables[from].tell(now), now);
                    }
                }
            }
        };
        const instant troubledAt = start + seconds(3);
        const instant end = troubledAt + milliseconds(400);
        std::map<std::string, int> trials;
        int step = 0;
        for (instant now = start; now < end; now += milliseconds(5), ++step) {
            for (int sick = 0; sick < sickTargets && step % 100 == 0; ++sick) {
                target_row *row = tables[static_cast<std::size_t>(sick) % nodes].find(keyOf(tables[0], "t" + std::to_string(sick)));
                row->health.observe(failedAnswer, now);
                for (auto &table : tables) {
                    table.find(row->key)->health.adopt(row->health.sickness(now), now);
                }
            }
            target_table &table = tables[static_cast<std::size_t>(step) % nodes];
            target_query asked = query();
            asked.unservedShare = now < troubledAt ? 0.0 : 0.15;
            const auto choice = table.choose(asked, now);
            CPPUNIT_ASSERT(choice.has_value());
            if (now >= troubledAt && choice->isTrial) {
                ++trials[choice->row->entry.id];
            }
            table.started(*choice->row);
            table.finished(*choice->row, target_outcome::served, milliseconds(1), work, now);
            if (step % 12 == 0) { // 60 ms, the pace between hubs of one data centre
                tellAll(now);
            }
        }
        int all = 0;
        for (const auto &[id, count] : trials) {
            all += count;
        }
        CPPUNIT_ASSERT(trials.size() >= 10); // All but the tenth of three tenths that may stay unused, and one that is due.
        CPPUNIT_ASSERT(all * 10 <= static_cast<int>(trials.size()) * 12);
    }

    /// Pattern: a peer's link to a target is cut, and its request hangs there until its caller's time is over.
    void takesARequestThatHangsElsewhereForNoFurtherUse()
    {
        constexpr std::uint64_t peer = 9;
        target_table table("here", 1);
        target_table elsewhere("there", 2);
        table.apply(snapshot(2), start);
        elsewhere.apply(snapshot(2), start);
        table.told(peer, elsewhere.tell(start), start);
        target_row *hung = elsewhere.find(keyOf(elsewhere, "t0"));
        elsewhere.started(*hung);
        instant now = start;
        for (; now < start + seconds(3); now += milliseconds(100)) {
            table.told(peer, elsewhere.tell(now), now);
        }
        CPPUNIT_ASSERT(table.find(hung->key)->usedAt == start);
        CPPUNIT_ASSERT_EQUAL(1, table.inFlight(*table.find(hung->key), now));
        elsewhere.started(*hung);
        table.told(peer, elsewhere.tell(now), now);
        CPPUNIT_ASSERT(table.find(hung->key)->usedAt == now);
    }

    /// Pattern: a hub stops, and a node that has seen no work takes over its callers at once.
    void takesOverTheBeliefsOfABusierNode()
    {
        target_table hub("here", 1);
        target_table idle("here", 2);
        hub.apply(snapshot(6), start);
        idle.apply(snapshot(6), start);
        const std::uint64_t sick = keyOf(hub, "t3");
        hub.find(sick)->health.observe(failedAnswer, start);
        hub.find(sick)->health.observe(failedAnswer, start);
        idle.adoptBeliefs(hub.beliefs(start), start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(hub.find(sick)->health.sickness(start), idle.find(sick)->health.sickness(start), 0.01);
        for (int i = 0; i < 20; ++i) {
            const auto choice = idle.choose(query(), start + milliseconds(10) * i);
            CPPUNIT_ASSERT(choice && choice->row->key != sick);
        }
        // Beliefs about other targets are left alone.
        idle.apply(snapshot(5), start);
        idle.adoptBeliefs(std::string(6, '\0'), start);
        CPPUNIT_ASSERT(idle.find(sick)->health.sickness(start) > 0.5);
    }

    void prefersTheOwnDataCentreAmongEquals()
    {
        target_table table("here", 1);
        table.apply(snapshot(2), start);
        int near = 0;
        instant now = start;
        for (int i = 0; i < 100; ++i, now += milliseconds(20)) {
            const auto choice = table.choose(query(), now);
            near += choice->row->entry.dataCentre == "here" ? 1 : 0;
            table.started(*choice->row);
            table.finished(*choice->row, target_outcome::served, work, work, now);
        }
        CPPUNIT_ASSERT(near > 60);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_table_tests);

} // namespace
