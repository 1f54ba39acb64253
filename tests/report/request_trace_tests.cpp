#include "report/request_trace.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingofield;

namespace {

constexpr std::string_view firstNode
    = "time=2026-12-04T10:00:00.100Z level=info node=n1 event=request_sent id=a1 target=i-7 sickness=0.05\n"
      "time=2026-12-04T10:00:00.150Z level=info node=n1 event=request_sent id=a10 target=i-8 sickness=0.05\n"
      "time=2026-12-04T10:00:00.300Z level=info node=n1 event=target_failed id=a1 target=i-7 status=500 not_executed=no taken_ms=200\n"
      "time=2026-12-04T10:00:00.301Z level=info node=n1 event=request_answered id=a1 outcome=failed status=500 taken_ms=201\n"
      "not a line of a node a1\n";
constexpr std::string_view secondNode
    = R"({"time":"2026-12-04T10:00:00.200Z","level":"warning","node":"n2","event":"request_refused","id":"b2","reason":"no slot","free_slots":"0"})"
      "\n"
      R"({"time":"2026-12-04T10:00:00.201Z","level":"info","node":"n2","event":"request_answered","id":"b2","outcome":"refused","status":"503"})";
constexpr std::string_view lostAnswer
    = "time=2026-12-04T10:00:01.000Z level=warning node=n1 event=exchange_failed id=c3 target=i-9 step=\"receive answer\" peer=10.0.0.1:80 "
      "reason=\"Connection reset by peer\" verdict=may_have_run reused=yes idle_ms=410 taken_ms=2\n"
      "time=2026-12-04T10:00:01.001Z level=info node=n1 event=request_answered id=c3 outcome=failed status=502 taken_ms=3\n";

class request_trace_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_trace_tests);
    CPPUNIT_TEST(collectsTheLinesOfOneRequestInOrder);
    CPPUNIT_TEST(reportsTheFailedTarget);
    CPPUNIT_TEST(reportsTheReasonOfARefusalFromJsonLines);
    CPPUNIT_TEST(reportsTheStepAndReasonOfAFailedExchange);
    CPPUNIT_TEST(reportsARequestWithoutALoggedEnd);
    CPPUNIT_TEST(toleratesTruncatedLines);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<log_line> linesOf(std::string_view id)
    {
        std::vector<log_line> lines;
        for (const std::string_view log : {lostAnswer, secondNode, firstNode}) {
            collectRequestLines(id, log, lines);
        }
        return lines;
    }

    void collectsTheLinesOfOneRequestInOrder()
    {
        const auto lines = linesOf("a1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string("request_sent"), lines.front().event);
        CPPUNIT_ASSERT_EQUAL(std::string("request_answered"), lines.back().event);
    }

    void reportsTheFailedTarget()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("target i-7 answered 500 after 200 ms, it ran, sickness 0.05 when it was sent"),
                             describeCause(linesOf("a1")));
    }

    void reportsTheReasonOfARefusalFromJsonLines()
    {
        const std::string cause = describeCause(linesOf("b2"));
        CPPUNIT_ASSERT(cause.find("refused by n2, it has not run: no slot") == 0);
    }

    void reportsTheStepAndReasonOfAFailedExchange()
    {
        const std::string cause = describeCause(linesOf("c3"));
        CPPUNIT_ASSERT(cause.find("receive answer 10.0.0.1:80: Connection reset by peer") != std::string::npos);
        CPPUNIT_ASSERT(cause.find("kept for 410 ms; it may have run") != std::string::npos);
    }

    void reportsARequestWithoutALoggedEnd()
    {
        CPPUNIT_ASSERT(describeCause(linesOf("a10")).find("no end of the request is logged") == 0);
    }

    void toleratesTruncatedLines()
    {
        for (const std::string_view text : {firstNode, secondNode, lostAnswer}) {
            for (std::size_t length = 0; length < text.size(); ++length) {
                std::vector<log_line> lines;
                collectRequestLines("c3", text.substr(0, length), lines);
                (void)describeCause(lines);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_trace_tests);

} // namespace
