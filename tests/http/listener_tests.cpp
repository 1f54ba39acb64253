#include "http/listener.hpp"
#include "support/log_recorder.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <unistd.h>

using namespace flamingofield;
using boost::asio::ip::tcp;

namespace {

constexpr std::uint16_t port = 7300;

/// A listener that answers every request with its target, and a client that sends raw bytes.
class listener_harness
{
public:
    listener_harness()
        : server(
            loop, [this] { return limits; },
            [this](const auto &pending) {
                http_answer_message answer;
                answer.status = 200;
                answer.body = pending->request().target;
                answer.body.resize(std::max(answer.body.size(), answerBytes), '.');
                pending->answer(answer);
            })
        , client(loop)
    {
        const std::string host = "127." + std::to_string(60 + getpid() % 150) + ".9.1";
        CPPUNIT_ASSERT(server.start({host, port}));
        client.connect({boost::asio::ip::make_address(host), port});
    }

    void run(milliseconds time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            loop.restart();
            loop.run_for(std::min(time, milliseconds(5)));
            server.tick(std::chrono::steady_clock::now());
        }
    }

    /// Sends bytes and runs the listener for a time.
    /// @return all bytes received by then
    std::string sendAndReceive(const std::string &bytes, milliseconds time = milliseconds(60))
    {
        boost::asio::write(client, boost::asio::buffer(bytes));
        run(time);
        std::string received(client.available(), '\0');
        boost::asio::read(client, boost::asio::buffer(received));
        return received;
    }

    /// Sends bytes again and again until the listener answers, the connection fails or a number of bytes is sent.
    /// @return number of bytes sent
    std::size_t sendWithoutEnd(const std::string &start, const std::string &repeated, std::size_t most)
    {
        boost::asio::write(client, boost::asio::buffer(start));
        client.non_blocking(true);
        std::size_t sent = 0;
        const auto end = std::chrono::steady_clock::now() + seconds(5);
        while (sent < most && client.available() == 0 && std::chrono::steady_clock::now() < end) {
            boost::system::error_code failure;
            sent += client.write_some(boost::asio::buffer(repeated), failure);
            if (failure && failure != boost::asio::error::would_block) {
                break;
            }
            loop.restart();
            loop.run_for(milliseconds(1));
        }
        return sent;
    }

    boost::asio::io_context loop{1};
    client_connection_limits limits;
    std::size_t answerBytes = 0; ///< Smallest size of the answers' bodies.
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
    CPPUNIT_TEST(answersPipelinedRequestsInOrder);
    CPPUNIT_TEST(refusesAndLogsMalformedRequests);
    CPPUNIT_TEST(refusesAndLogsTooLongHeaders);
    CPPUNIT_TEST(refusesAndLogsRequestsIncompleteAtTheTimeout);
    CPPUNIT_TEST(refusesARequestBeforeAPartWithoutEndTakesTheMemory);
    CPPUNIT_TEST(closesConnectionsAfterTheirAnswerWhileDraining);
    CPPUNIT_TEST(countsARequestUntilItsClientHasTheWholeAnswer);
    CPPUNIT_TEST(answersRequestsThatArrivedBeforeItStoppedAccepting);
    CPPUNIT_TEST_SUITE_END();

    void answersPipelinedRequestsInOrder()
    {
        listener_harness harness;
        const std::string answers = harness.sendAndReceive("GET /one HTTP/1.1\r\nHost: a\r\n\r\nGET /two HTTP/1.1\r\nHost: a\r\n\r\n");
        const auto first = answers.find("/one");
        CPPUNIT_ASSERT(first != std::string::npos);
        CPPUNIT_ASSERT(answers.find("/two") != std::string::npos && answers.find("/two") > first);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.server.connections());
    }

    void refusesAndLogsMalformedRequests()
    {
        listener_harness harness;
        const test_support::log_recorder log;
        CPPUNIT_ASSERT(startsWith(harness.sendAndReceive("no http at all\r\n\r\n"), "HTTP/1.1 400 "));
        CPPUNIT_ASSERT(log.contains("event=bad_request peer=127."));
        CPPUNIT_ASSERT(log.contains(" status=400 "));
    }

    void refusesAndLogsTooLongHeaders()
    {
        listener_harness harness;
        harness.limits.headerBytes = 200;
        const test_support::log_recorder log;
        const std::string head = "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(400, 'x') + "\r\n\r\n";
        CPPUNIT_ASSERT(startsWith(harness.sendAndReceive(head), "HTTP/1.1 431 "));
        CPPUNIT_ASSERT(log.contains(" status=431 "));
    }

    void refusesAndLogsRequestsIncompleteAtTheTimeout()
    {
        listener_harness harness;
        harness.limits.headerTimeout = milliseconds(40);
        const test_support::log_recorder log;
        CPPUNIT_ASSERT(startsWith(harness.sendAndReceive("GET / HTTP/1.1\r\nHo", milliseconds(150)), "HTTP/1.1 408 "));
        CPPUNIT_ASSERT(log.contains(" status=408 "));
    }

    /// Guards against a node that runs out of memory while a client or peer sends one part of a request without end.
    void refusesARequestBeforeAPartWithoutEndTakesTheMemory()
    {
        const std::string chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::string filler(65536, 'x');
        const std::vector<std::pair<std::string, std::string>> cases{
            {"GET /", filler},
            {"GET / HTTP/1.1\r\nHost: a\r\n", "X-More: and more\r\n"},
            {chunked + "5;", filler},
            {chunked, std::string(65536, '0')},
            {chunked + "5\r\nhello\r\n5;", filler},
            {chunked + "0\r\nX-Long: ", filler},
            {chunked + "0\r\n", "X-More: and more\r\n"},
        };
        // What the sockets of both sides hold, and far below what a client can send until the request's timeout.
        constexpr std::size_t maxSent = 16U << 20U;
        for (const auto &[start, repeated] : cases) {
            listener_harness harness;
            const test_support::log_recorder log;
            const std::size_t sent = harness.sendWithoutEnd(start, repeated, maxSent);
            CPPUNIT_ASSERT_MESSAGE(start + " took " + std::to_string(sent) + " bytes", sent < maxSent);
            CPPUNIT_ASSERT_MESSAGE(start, log.contains("event=bad_request"));
        }
    }

    void closesConnectionsAfterTheirAnswerWhileDraining()
    {
        listener_harness harness;
        harness.server.beginDraining();
        const std::string answer = harness.sendAndReceive("GET /one HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(answer.find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT(answer.find("/one") != std::string::npos);
    }

    /// Guards against a planned stop that ends the process while a slow client still reads its answer.
    void countsARequestUntilItsClientHasTheWholeAnswer()
    {
        listener_harness harness;
        harness.answerBytes = 32U << 20U; // More than the sockets of both sides hold.
        boost::asio::write(harness.client, boost::asio::buffer(std::string("GET /one HTTP/1.1\r\nHost: a\r\n\r\n")));
        harness.run(milliseconds(60));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.server.unfinished());
        std::size_t received = 0;
        const auto end = std::chrono::steady_clock::now() + seconds(10);
        while (received < harness.answerBytes && std::chrono::steady_clock::now() < end) {
            std::string piece(harness.client.available(), '\0');
            received += boost::asio::read(harness.client, boost::asio::buffer(piece));
            harness.run(milliseconds(2));
        }
        CPPUNIT_ASSERT(received >= harness.answerBytes);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.server.unfinished());
    }

    /// Guards against requests that are reset unread when a planned stop closes the listener.
    void answersRequestsThatArrivedBeforeItStoppedAccepting()
    {
        listener_harness harness;
        harness.run(milliseconds(20));
        tcp::socket queued(harness.loop);
        queued.connect(harness.client.remote_endpoint());
        const std::string request = "GET /late HTTP/1.1\r\nHost: a\r\n\r\n";
        for (tcp::socket *each : {&harness.client, &queued}) {
            boost::asio::write(*each, boost::asio::buffer(request));
        }
        harness.server.stopAccepting();
        harness.run(milliseconds(60));
        for (tcp::socket *each : {&harness.client, &queued}) {
            std::string received(each->available(), '\0');
            boost::asio::read(*each, boost::asio::buffer(received));
            CPPUNIT_ASSERT_MESSAGE((each == &queued ? "in the queue: " : "accepted: ") + received, startsWith(received, "HTTP/1.1 200 "));
            CPPUNIT_ASSERT(received.find("Connection: close") != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(listener_tests);

} // namespace
