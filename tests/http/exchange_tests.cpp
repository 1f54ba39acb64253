#include "http/exchange.hpp"
#include "support/broken_answers.hpp"
#include "support/scripted_backend.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <tuple>
#include <unistd.h>
#include <utility>

using namespace flamingofield;
using test_support::backend_reply;
using test_support::backend_request;
using test_support::scripted_backend;

namespace {

constexpr std::uint16_t port = 7400;
constexpr std::size_t maxAnswerBytes = 1U << 20U;
/// Bytes that the sockets of both sides may hold beyond what the exchange has received.
constexpr std::size_t socketBytes = 8U << 20U;

/// Whether the exchange and the server run in small steps, or in turns until each can do nothing more. In turns, the exchange finds
/// everything that the server has done to a connection at once.
enum class interleaving { steps, turns };

/// A scripted backend server and exchanges with it.
class exchange_fixture
{
public:
    explicit exchange_fixture(scripted_backend::script reply, interleaving order = interleaving::steps)
        : address{"127." + std::to_string(30 + getpid() % 180) + ".7.1", port}
        , backend(order == interleaving::turns ? serverLoop : loop, address, std::move(reply))
        , m_order(order)
    {
    }

    /// Runs one exchange.
    /// @return its result, or nothing if it has not ended in time
    std::optional<exchange_result> run(const http_request_message &request, milliseconds limit = seconds(3))
    {
        std::optional<exchange_result> ended;
        const auto current = std::make_shared<exchange>(loop, connections, address, options);
        current->start(request, [&](exchange_result result) { ended = std::move(result); });
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!ended && std::chrono::steady_clock::now() < end) {
            runLoops();
        }
        if (!ended) {
            current->cancel();
            loop.restart();
            loop.run_for(milliseconds(20));
            ended.reset();
        }
        return ended;
    }

    boost::asio::io_context loop{1};
    boost::asio::io_context serverLoop{1};
    endpoint address;
    scripted_backend backend;
    connection_pool connections;
    exchange_options options;

private:
    void runLoops()
    {
        constexpr milliseconds turn{20};
        loop.restart();
        if (m_order == interleaving::steps) {
            loop.run_one_for(milliseconds(5));
            return;
        }
        loop.run_for(turn);
        serverLoop.restart();
        serverLoop.run_for(turn);
    }

    interleaving m_order;
};

http_request_message getRequest(const std::string &id = "r1")
{
    http_request_message request;
    request.method = "GET";
    request.target = "/";
    request.fields.add("Host", "a.example");
    request.fields.add("X-Id", id);
    return request;
}

/// A request that is longer than the sockets of both sides hold.
http_request_message uploadRequest(const std::string &id = "r1")
{
    http_request_message request = getRequest(id);
    request.method = "POST";
    request.body = std::string(32U << 20U, 'u');
    return request;
}

class exchange_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(exchange_tests);
    CPPUNIT_TEST(endsBeforeAPartOfAnAnswerWithoutEndTakesTheMemory);
    CPPUNIT_TEST(sendsARequestAgainOnAConnectionThatHasNotCarriedIt);
    CPPUNIT_TEST(reusesAConnectionForABoundedNumberOfRequests);
    CPPUNIT_TEST(refusesAnAnswerInACodingThatItCannotDecode);
    CPPUNIT_TEST(keepsFieldsOfTheTrailerOutOfTheHead);
    CPPUNIT_TEST(reusesAConnectionWithAVeryLongKeepAliveTime);
    CPPUNIT_TEST(failsIfAConnectionBreaksDuringAnUnframedAnswerToAnUpload);
    CPPUNIT_TEST(deliversAnEarlyAnswerToAnUpload);
    CPPUNIT_TEST(deliversCompleteAnswersWithUnusualHeads);
    CPPUNIT_TEST(failsAtOnceOnAStatusOutsideTheProtocol);
    CPPUNIT_TEST(failsAtOnceOnAFieldNameOutsideTheProtocol);
    CPPUNIT_TEST(failsOnABodyWhoseEndIsNotCertain);
    CPPUNIT_TEST(failsOnAHeadThatEndsAtAnyByte);
    CPPUNIT_TEST(failsAtOnceWhenTheConnectionEndsBehindAnAnswerToAnotherRequest);
    CPPUNIT_TEST_SUITE_END();

    static backend_reply answerWithId(const backend_request &request)
    {
        return {"HTTP/1.1 200 OK\r\nX-Id: " + std::string(request["X-Id"]) + "\r\nContent-Length: 0\r\n\r\n", false, false};
    }

    void sendsARequestAgainOnAConnectionThatHasNotCarriedIt()
    {
        exchange_fixture fixture(answerWithId);
        fixture.options.requestIdField = "X-Id";
        fixture.options.maxIdleTime = seconds(10);
        const auto connectionsAfter = [&](const std::string &id) {
            const auto ended = fixture.run(getRequest(id));
            CPPUNIT_ASSERT(ended && ended->outcome == exchange_outcome::answered);
            return fixture.backend.connections;
        };
        CPPUNIT_ASSERT_EQUAL(1, connectionsAfter("r1"));
        CPPUNIT_ASSERT_EQUAL(1, connectionsAfter("r2"));
        CPPUNIT_ASSERT_EQUAL(2, connectionsAfter("r1"));
        CPPUNIT_ASSERT_EQUAL(2, connectionsAfter("r2"));
        CPPUNIT_ASSERT_EQUAL(2, connectionsAfter("r3"));
        // Both have carried it by now.
        CPPUNIT_ASSERT_EQUAL(3, connectionsAfter("r2"));
    }

    void reusesAConnectionForABoundedNumberOfRequests()
    {
        exchange_fixture fixture(answerWithId);
        fixture.options.requestIdField = "X-Id";
        fixture.options.maxIdleTime = seconds(10);
        for (std::size_t i = 0; i < connection_pool::maxRequestsPerConnection; ++i) {
            fixture.run(getRequest("r" + std::to_string(i)));
        }
        CPPUNIT_ASSERT_EQUAL(1, fixture.backend.connections);
        fixture.run(getRequest("next"));
        CPPUNIT_ASSERT_EQUAL(2, fixture.backend.connections);
    }

    /// Guards against a node that runs out of memory while a peer of any kind sends one part of an answer without end.
    void endsBeforeAPartOfAnAnswerWithoutEndTakesTheMemory()
    {
        const std::string head = "HTTP/1.1 200 OK\r\n";
        const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
        const std::string filler(65536, 'x');
        const std::vector<std::pair<std::string, std::string>> cases{
            {"HTTP/1.1 200 ", filler},
            {head + "X-Long: ", filler},
            {head, "X-More: and more\r\n"},
            {head + "\r\n", filler},
            {chunked + "5;", filler},
            {chunked, std::string(65536, '0')},
            {chunked + "5\r\nhello\r\n5;", filler},
            {chunked + "0\r\nX-Long: ", filler},
            {chunked + "0\r\n", "X-More: and more\r\n"},
            {chunked, "10000\r\n" + filler + "\r\n"},
        };
        for (const auto &[start, repeated] : cases) {
            exchange_fixture fixture([start = start, repeated = repeated](const backend_request &) {
                backend_reply reply;
                reply.bytes = start;
                reply.endlessBytes = repeated;
                return reply;
            });
            fixture.options.maxAnswerBytes = maxAnswerBytes;
            const auto ended = fixture.run(getRequest());
            const std::size_t sent = fixture.backend.endlessBytesSent;
            CPPUNIT_ASSERT_MESSAGE(start + " took " + std::to_string(sent) + " bytes", sent < maxAnswerBytes + socketBytes);
            CPPUNIT_ASSERT_MESSAGE(start, ended && ended->outcome == exchange_outcome::mayHaveRun);
            CPPUNIT_ASSERT_EQUAL(std::string("receive answer"), ended->failure.step);
        }
    }

    /// Guards against an encoded body that is delivered without the field that says so, and one whose end is misjudged.
    void refusesAnAnswerInACodingThatItCannotDecode()
    {
        for (const std::string fields :
             {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: gzip\r\nContent-Length: 5\r\n"}) {
            exchange_fixture fixture([&fields](const backend_request &) {
                return backend_reply{"HTTP/1.1 200 OK\r\n" + fields + "\r\n5\r\nhello\r\n0\r\n\r\n", true, false};
            });
            const auto ended = fixture.run(getRequest());
            CPPUNIT_ASSERT_MESSAGE(fields, ended && ended->outcome == exchange_outcome::mayHaveRun);
            CPPUNIT_ASSERT_EQUAL(std::string("receive answer"), ended->failure.step);
        }
    }

    /// Guards against a trailer that adds fields to an answer or changes the id of the request that it belongs to.
    void keepsFieldsOfTheTrailerOutOfTheHead()
    {
        exchange_fixture fixture([](const backend_request &) {
            return backend_reply{
                "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Id: r0\r\nX-Sum: 7\r\n\r\n", false,
                false};
        });
        fixture.options.requestIdField = "X-Id";
        const auto ended = fixture.run(getRequest());
        CPPUNIT_ASSERT(ended && ended->outcome == exchange_outcome::answered);
        CPPUNIT_ASSERT_EQUAL(std::string("hi"), ended->answer.body.text());
        const std::vector<header_fields::field> expected{{"X-Id", "r1"}, {"Transfer-Encoding", "chunked"}};
        CPPUNIT_ASSERT(ended->answer.fields.all() == expected);
    }

    /// Guards against a stated time that overflows when it is converted to milliseconds.
    void reusesAConnectionWithAVeryLongKeepAliveTime()
    {
        exchange_fixture fixture([](const backend_request &) {
            return backend_reply{"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2147483647\r\nContent-Length: 0\r\n\r\n", false, false};
        });
        fixture.options.maxIdleTime = seconds(10);
        fixture.run(getRequest());
        fixture.run(getRequest());
        CPPUNIT_ASSERT_EQUAL(1, fixture.backend.connections);
    }

    /// Guards against a truncated answer that passes for a complete one: the pending write takes the error of the socket, and the read
    /// only sees the end of the stream.
    void failsIfAConnectionBreaksDuringAnUnframedAnswerToAnUpload()
    {
        for (const auto order : {interleaving::steps, interleaving::turns}) {
            for (const bool isReused : {false, true}) {
                for (const bool isReset : {false, true}) {
                    const std::string part = isReused == isReset ? "" : "part";
                    exchange_fixture fixture(
                        [&](const backend_request &request) {
                            if (request.method() == boost::beast::http::verb::get) {
                                return answerWithId(request);
                            }
                            backend_reply reply;
                            reply.bytes = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\n" + part;
                            reply.resetsConnection = isReset;
                            reply.stopsReading = !isReset; // The kernel then ends the connection after unacknowledgedTimeout.
                            return reply;
                        },
                        order);
                    fixture.backend.answersLongRequestsEarly = true;
                    fixture.options.requestIdField = "X-Id";
                    fixture.options.maxIdleTime = seconds(10);
                    fixture.options.unacknowledgedTimeout = milliseconds(300);
                    if (isReused) {
                        fixture.run(getRequest("r0"));
                    }
                    const auto ended = fixture.run(uploadRequest(), seconds(5));
                    const std::string name
                        = std::string(isReused ? "reused, " : "new, ") + (isReset ? "reset" : "timed out") + ", after \"" + part + "\"";
                    CPPUNIT_ASSERT_MESSAGE(name, ended.has_value());
                    CPPUNIT_ASSERT_MESSAGE(name, ended->outcome == exchange_outcome::mayHaveRun);
                    CPPUNIT_ASSERT_EQUAL(std::string("receive answer"), ended->failure.step);
                    CPPUNIT_ASSERT_EQUAL(isReset, ended->wasClosedByPeer);
                    CPPUNIT_ASSERT_EQUAL(isReused, ended->wasConnectionReused);
                }
            }
        }
    }

    void deliversAnEarlyAnswerToAnUpload()
    {
        const std::string head = "HTTP/1.1 200 OK\r\n";
        const std::string unframed = head + "\r\nwhole";
        const std::string sized = head + "Content-Length: 5\r\n\r\nwhole";
        const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
        backend_reply endsStream;
        endsStream.endsStream = true;
        backend_reply closes;
        closes.closesConnection = true;
        backend_reply resets;
        resets.resetsConnection = true;
        backend_reply closesWithoutReset = closes;
        closesWithoutReset.readsBeforeClosing = true;
        const std::vector<std::tuple<std::string, std::string, backend_reply>> cases{
            {"unframed, ends its stream", unframed, endsStream},
            {"unframed, closes", unframed, closesWithoutReset},
            {"sized, ends its stream", sized, endsStream},
            {"sized, resets", sized, resets},
            {"chunked, closes", chunked, closes},
            {"chunked, resets", chunked, resets},
        };
        for (const auto order : {interleaving::steps, interleaving::turns}) {
            for (const auto &[name, bytes, end] : cases) {
                exchange_fixture fixture(
                    [&bytes = bytes, &end = end](const backend_request &) {
                        backend_reply reply = end;
                        reply.bytes = bytes;
                        return reply;
                    },
                    order);
                fixture.backend.answersLongRequestsEarly = true;
                const auto ended = fixture.run(uploadRequest());
                CPPUNIT_ASSERT_MESSAGE(name, ended.has_value());
                CPPUNIT_ASSERT_MESSAGE(name + ": " + ended->failure.reason, ended->outcome == exchange_outcome::answered);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string("whole"), ended->answer.body.text());
            }
        }
    }

    void deliversCompleteAnswersWithUnusualHeads()
    {
        for (const std::string &answer : test_support::answersWithUnusualHeads("X-Id: r1\r\n")) {
            exchange_fixture fixture([&](const backend_request &) { return backend_reply{answer, false, false}; });
            fixture.options.requestIdField = "X-Id";
            const auto ended = fixture.run(getRequest());
            const std::string name = answer.substr(0, 200);
            CPPUNIT_ASSERT_MESSAGE(name, ended.has_value());
            CPPUNIT_ASSERT_MESSAGE(name + ": " + ended->failure.reason, ended->outcome == exchange_outcome::answered);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string("whole"), ended->answer.body.text());
        }
    }

    /// Guards against such an answer that passes for an interim one, so that what follows it is taken for the answer.
    void failsAtOnceOnAStatusOutsideTheProtocol()
    {
        const std::string valid = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        for (const std::string status : {"000", "001", "099", "600", "999"}) {
            for (const std::string rest : {"Content-Length: 0\r\n\r\n", "Content-Length: 5\r\n\r\nhello", "\r\nuntil the end",
                                           "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"}) {
                exchange_fixture fixture([&, isFirst = true](const backend_request &request) mutable {
                    const std::string id = "X-Id: " + std::string(request["X-Id"]) + "\r\n";
                    return std::exchange(isFirst, false)
                        ? backend_reply{valid, false, false}
                        : backend_reply{"HTTP/1.1 " + status + " Odd\r\n" + id + rest + valid, false, false};
                });
                fixture.options.maxIdleTime = seconds(10);
                fixture.run(getRequest());
                const auto ended = fixture.run(getRequest(), seconds(1));
                CPPUNIT_ASSERT_MESSAGE(status + " " + rest, ended && ended->outcome == exchange_outcome::mayHaveRun);
                CPPUNIT_ASSERT_EQUAL(std::string("receive answer"), ended->failure.step);
                CPPUNIT_ASSERT_EQUAL("expected a status from 100 to 599, got " + std::to_string(std::stoi(status)), ended->failure.reason);
                CPPUNIT_ASSERT(ended->wasConnectionReused);
                CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.connections.size());
            }
        }
    }

    static void expectFailures(const std::vector<std::string> &answers, bool closesConnection)
    {
        for (const std::string &answer : answers) {
            for (const auto &request : {getRequest(), uploadRequest()}) {
                exchange_fixture fixture([&](const backend_request &) { return backend_reply{answer, closesConnection, false}; });
                fixture.backend.answersLongRequestsEarly = true;
                const auto ended = fixture.run(request, seconds(1));
                CPPUNIT_ASSERT_MESSAGE(answer, ended && ended->outcome == exchange_outcome::mayHaveRun);
                CPPUNIT_ASSERT_EQUAL(std::string("receive answer"), ended->failure.step);
            }
        }
    }

    void failsAtOnceOnAFieldNameOutsideTheProtocol()
    {
        expectFailures(test_support::answersWithInvalidNames("Server: a\r\n"), false);
    }

    void failsOnABodyWhoseEndIsNotCertain()
    {
        expectFailures(test_support::answersWithInvalidBodies(), true);
    }

    void failsOnAHeadThatEndsAtAnyByte()
    {
        const std::string head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 5\r\n\r\n";
        for (const std::string before : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
            for (const std::string method : {"GET", "HEAD", "POST"}) {
                for (std::size_t length = 0; length < head.size(); ++length) {
                    const bool isReset = length % 2 == 0;
                    exchange_fixture fixture([&](const backend_request &request) {
                        return request["X-Id"] == "r0" ? answerWithId(request)
                                                       : backend_reply{before + head.substr(0, length), !isReset, isReset};
                    });
                    fixture.options.requestIdField = "X-Id";
                    fixture.options.maxIdleTime = seconds(10);
                    fixture.run(getRequest("r0"));
                    http_request_message request = getRequest();
                    request.method = method;
                    const auto ended = fixture.run(request, seconds(1));
                    const std::string name = method + ", " + before + head.substr(0, length);
                    CPPUNIT_ASSERT_MESSAGE(name, ended && ended->outcome == exchange_outcome::mayHaveRun);
                    CPPUNIT_ASSERT_MESSAGE(name, ended->wasClosedByPeer && ended->wasConnectionReused);
                }
            }
        }
    }

    /// Guards against a read after the end of the stream, which does not complete.
    void failsAtOnceWhenTheConnectionEndsBehindAnAnswerToAnotherRequest()
    {
        const std::string head = "HTTP/1.1 200 OK\r\nX-Id: r0\r\n";
        for (const std::string rest :
             {"\r\nuntil the end", "\r\n", "Content-Length: 3\r\n\r\nold", "Transfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n"}) {
            for (const auto order : {interleaving::steps, interleaving::turns}) {
                exchange_fixture fixture([&](const backend_request &) { return backend_reply{head + rest, true, false}; }, order);
                fixture.options.requestIdField = "X-Id";
                const auto ended = fixture.run(getRequest(), seconds(1));
                CPPUNIT_ASSERT_MESSAGE(rest, ended && ended->outcome == exchange_outcome::mayHaveRun);
                CPPUNIT_ASSERT_MESSAGE(rest, ended->wasClosedByPeer);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(exchange_tests);

} // namespace
