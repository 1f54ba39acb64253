#include "idempotency/outcome_table.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingofield;

namespace {

constexpr std::uint64_t self = 0xabcdef0123456789ULL;

idempotency_key keyAt(std::uint32_t epoch, const std::string &nonce)
{
    return {self, epoch, nonce};
}

class outcome_table_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(outcome_table_tests);
    CPPUNIT_TEST(grantsAKeyOnce);
    CPPUNIT_TEST(returnsTheRecordedAnswerToARepeat);
    CPPUNIT_TEST(keepsAClosedKeyClosed);
    CPPUNIT_TEST(neverRunsAnExpiredKey);
    CPPUNIT_TEST(closesUnseenKeysWhenFull);
    CPPUNIT_TEST(refusesKeysOfOtherIncarnations);
    CPPUNIT_TEST(parsesOnlyWellFormedKeys);
    CPPUNIT_TEST_SUITE_END();

    template<typename State> static bool holds(const claim_result &result)
    {
        return std::holds_alternative<State>(result);
    }

    void grantsAKeyOnce()
    {
        outcome_table table(self, {});
        CPPUNIT_ASSERT(holds<execution_granted>(table.claim(keyAt(5, "a"), 5)));
        CPPUNIT_ASSERT(holds<execution_in_progress>(table.claim(keyAt(5, "a"), 5)));
        table.markUnknown(keyAt(5, "a"), "connection reset");
        CPPUNIT_ASSERT(holds<execution_unknown>(table.claim(keyAt(5, "a"), 6)));
    }

    void returnsTheRecordedAnswerToARepeat()
    {
        outcome_table table(self, {});
        table.claim(keyAt(5, "a"), 5);
        table.recordAnswer(keyAt(5, "a"), {201, "application/json", "{}"});
        const claim_result repeat = table.claim(keyAt(5, "a"), 9);
        CPPUNIT_ASSERT(holds<execution_recorded>(repeat));
        CPPUNIT_ASSERT_EQUAL(201, std::get<execution_recorded>(repeat).answer->status);
    }

    void keepsAClosedKeyClosed()
    {
        outcome_table table(self, {});
        table.claim(keyAt(5, "a"), 5);
        table.markNotExecuted(keyAt(5, "a"), "queue full");
        CPPUNIT_ASSERT(holds<execution_refused>(table.claim(keyAt(5, "a"), 5)));
        table.recordAnswer(keyAt(5, "a"), {200, "", ""});
        CPPUNIT_ASSERT(holds<execution_refused>(table.claim(keyAt(5, "a"), 5)));
    }

    void neverRunsAnExpiredKey()
    {
        outcome_limits limits;
        limits.retentionSeconds = 10;
        outcome_table table(self, limits);
        table.claim(keyAt(5, "a"), 5);
        table.recordAnswer(keyAt(5, "a"), {200, "", ""});
        table.expire(15);
        CPPUNIT_ASSERT(holds<execution_recorded>(table.claim(keyAt(5, "a"), 15)));
        table.expire(16);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.size());
        CPPUNIT_ASSERT(holds<execution_unknown>(table.claim(keyAt(5, "a"), 16)));
    }

    void closesUnseenKeysWhenFull()
    {
        outcome_limits limits;
        limits.entries = 2;
        outcome_table table(self, limits);
        table.claim(keyAt(5, "a"), 5);
        table.claim(keyAt(5, "b"), 5);
        CPPUNIT_ASSERT(holds<execution_refused>(table.claim(keyAt(5, "c"), 5)));
        table.recordAnswer(keyAt(5, "a"), {200, "", ""});
        table.recordAnswer(keyAt(5, "b"), {200, "", ""});
        table.expire(5 + limits.retentionSeconds + 1);
        // The table has room again, but the key that was answered "not run" must still not run.
        CPPUNIT_ASSERT(!holds<execution_granted>(table.claim(keyAt(5, "c"), 5 + limits.retentionSeconds)));
        const std::uint32_t later = 5 + limits.retentionSeconds + 1;
        CPPUNIT_ASSERT(holds<execution_granted>(table.claim(keyAt(later, "d"), later)));
    }

    void refusesKeysOfOtherIncarnations()
    {
        outcome_table table(self, {});
        CPPUNIT_ASSERT(holds<execution_unknown>(table.claim({self + 1, 5, "a"}, 5)));
    }

    void parsesOnlyWellFormedKeys()
    {
        const auto key = parseIdempotencyKey("00000000000000ff.0000000a.n-1");
        CPPUNIT_ASSERT(key.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{255}, key.value().incarnation);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{10}, key.value().epoch);
        CPPUNIT_ASSERT_EQUAL(std::string("00000000000000ff.0000000a.n-1"), toString(key.value()));
        for (const char *bad : {"", "x", "00000000000000ff.0000000a.", "00000000000000fg.0000000a.n", "00000000000000ff-0000000a.n",
                                "00000000000000ff.0000000a.n n"}) {
            CPPUNIT_ASSERT_MESSAGE(bad, !parseIdempotencyKey(bad));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(outcome_table_tests);

} // namespace
