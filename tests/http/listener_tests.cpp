#include "http/listener.hpp"
#include "support/log_recorder.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

using namespace flamingofield;
using boost::asio::ip::tcp;

namespace {

constexpr std::uint16_t port = 7300;

/// A listener that answers every request with its target, and a client that speaks bytes.
class exchange_bench
{
public:
    exchange_bench()
        : server(
            loop, [this] { return limits; },
            [](const auto &pending) {
                http_exchange_answer answer;
                answer.status = 200;
                answer.body = pending->request().target;
                pending->answer(answer);
            })
        , client(loop)
    {
        const std::string host = "127." + std::to_string(60 + getpid() % 150) + ".9.1";
        CPPUNIT_ASSERT(server.start({host, port}));
        client.connect({boost::asio::ip::make_address(host), port});
    }

    /// Sends bytes and gives the listener time.
    /// @return all that it has sent by then
    std::string say(const std::string &bytes, milliseconds time = milliseconds(60))
    {
        boost::asio::write(client, boost::asio::buffer(bytes));
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            loop.restart();
            loop.run_for(milliseconds(5));
            server.tick(std::chrono::steady_clock::now());
        }
        std::string received(client.available(), '\0');
        boost::asio::read(client, boost::asio::buffer(received));
        return received;
    }

    boost::asio::io_context loop{1};
    client_connection_limits limits;
    listener server;
    tcp::socket client;
};

bool startsWith(const std::string &text, const std::string &start)
{
    return text.rfind(start, 0) == 0;
}

class listener_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(listener_tests);
    CPPUNIT_TEST(answersRequestsOfOneConnectionInTurn);
    CPPUNIT_TEST(refusesAndLogsWhatIsNoHttp);
    CPPUNIT_TEST(refusesAndLogsAHeadThatIsTooLong);
    CPPUNIT_TEST(refusesAndLogsARequestThatIsNotCompleteInTime);
    CPPUNIT_TEST(closesConnectionsAfterTheirAnswerWhileDraining);
    CPPUNIT_TEST_SUITE_END();

    void answersRequestsOfOneConnectionInTurn()
    {
        exchange_bench bench;
        const std::string answers = bench.say("GET /one HTTP/1.1\r\nHost: a\r\n\r\nGET /two HTTP/1.1\r\nHost: a\r\n\r\n");
        const auto first = answers.find("/one");
        CPPUNIT_ASSERT(first != std::string::npos);
        CPPUNIT_ASSERT(answers.find("/two") != std::string::npos && answers.find("/two") > first);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), bench.server.connections());
    }

    void refusesAndLogsWhatIsNoHttp()
    {
        exchange_bench bench;
        const test_support::log_recorder log;
        CPPUNIT_ASSERT(startsWith(bench.say("no http at all\r\n\r\n"), "HTTP/1.1 400 "));
        CPPUNIT_ASSERT(log.contains("event=bad_request peer=127."));
        CPPUNIT_ASSERT(log.contains(" status=400 "));
    }

    void refusesAndLogsAHeadThatIsTooLong()
    {
        exchange_bench bench;
        bench.limits.headerBytes = 200;
        const test_support::log_recorder log;
        const std::string head = "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(400, 'x') + "\r\n\r\n";
        CPPUNIT_ASSERT(startsWith(bench.say(head), "HTTP/1.1 431 "));
        CPPUNIT_ASSERT(log.contains(" status=431 "));
    }

    void refusesAndLogsARequestThatIsNotCompleteInTime()
    {
        exchange_bench bench;
        bench.limits.headerTimeout = milliseconds(40);
        const test_support::log_recorder log;
        CPPUNIT_ASSERT(startsWith(bench.say("GET / HTTP/1.1\r\nHo", milliseconds(150)), "HTTP/1.1 408 "));
        CPPUNIT_ASSERT(log.contains(" status=408 "));
    }

    void closesConnectionsAfterTheirAnswerWhileDraining()
    {
        exchange_bench bench;
        bench.server.beginDraining();
        const std::string answer = bench.say("GET /one HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(answer.find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT(answer.find("/one") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(listener_tests);

} // namespace
