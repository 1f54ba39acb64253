#include "caller.hpp"
#include "connection_burst.hpp"
#include "raw_answer_server.hpp"
#include "support/scripted_backend.hpp"
#include "support/test_seed.hpp"
#include "test_deployment.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <future>
#include <random>
#include <thread>

using namespace standins;
using flamingofield::milliseconds;
using flamingofield::seconds;
using test_support::scripted_backend;

namespace {

constexpr int rawTimeoutMs = 8000;

/// Every caller gets the complete answer to its own request, or an error.
///
/// Threads are started with std::async, because its futures join in their destructors, also when an assertion fails.
class answer_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(answer_tests);
    CPPUNIT_TEST(returnsToEachCallerTheAnswerToItsOwnRequest);
    CPPUNIT_TEST(neverForwardsAnAnswerTruncatedAtAnyByte);
    CPPUNIT_TEST(rejectsIncompleteAndMalformedAnswers);
    CPPUNIT_TEST(promisesNothingAfterABrokenAnswerOnAReusedConnection);
    CPPUNIT_TEST(promisesNothingWhenAMemberDiesWithARequestAndTheOtherIsGone);
    CPPUNIT_TEST(promisesOfNoWorkThatMayHaveRunThatItDidNotRun);
    CPPUNIT_TEST(passesOnAnErrorWithoutABodyAsTheServersAnswer);
    CPPUNIT_TEST(believesAServerThatStatesThatItDidNotRunTheWork);
    CPPUNIT_TEST(rejectsInvalidRequestsWithoutAffectingOtherCallers);
    CPPUNIT_TEST(servesNewCallersWhileIdleAndSlowOnesHoldConnections);
    CPPUNIT_TEST(acceptsABurstOfConnectionsWhileTheProcessIsPaused);
    CPPUNIT_TEST(replacesSilentConnectionsToTargets);
    CPPUNIT_TEST_SUITE_END();

    static deployment_plan planOf(int targets, bool hasProxies)
    {
        deployment_plan plan;
        plan.services = {{"wilgoc", targets, 4, targets * 4, "sequential"}};
        plan.seed = test_support::testSeed();
        plan.hasTargetProxies = hasProxies;
        return plan;
    }

    void returnsToEachCallerTheAnswerToItsOwnRequest()
    {
        test_deployment deployment(planOf(4, false));
        for (auto &target : deployment.targets()) {
            backend_behaviour partlySlow;
            partlySlow.serviceTime = milliseconds(3);
            partlySlow.slowShare = 0.3;
            partlySlow.slowTime = milliseconds(40);
            target.server->setBehaviour(partlySlow);
        }
        CPPUNIT_ASSERT(deployment.start());
        std::atomic<int> ownAnswers{0};
        std::atomic<int> wrongAnswers{0};
        std::vector<std::future<void>> threads;
        for (int c = 0; c < 24; ++c) {
            threads.push_back(std::async(std::launch::async, [&, c] {
                caller client(deployment.gates());
                for (int i = 0; i < 40; ++i) {
                    caller_request request;
                    request.target = "/wilgoc/normal/" + std::to_string(i);
                    request.token = std::to_string(c) + "-" + std::to_string(i);
                    const caller_result got = client.send("wilgoc", request);
                    const auto body = nlohmann::json::parse(got.body, nullptr, false);
                    if (got.outcome == "done") {
                        const bool isOwnAnswer = body.is_object() && body["token"] == request.token && body["path"] == request.target;
                        ++(isOwnAnswer ? ownAnswers : wrongAnswers);
                    }
                }
            }));
        }
        for (auto &thread : threads) {
            thread.get();
        }
        CPPUNIT_ASSERT_EQUAL(0, wrongAnswers.load());
        CPPUNIT_ASSERT(ownAnswers > 0);
    }

    void neverForwardsAnAnswerTruncatedAtAnyByte()
    {
        test_deployment deployment(planOf(1, true));
        CPPUNIT_ASSERT(deployment.start());
        caller client(deployment.gates());
        caller_request request;
        request.target = "/wilgoc/read/1";
        request.token = "whole";
        const caller_result complete = client.send("wilgoc", request);
        CPPUNIT_ASSERT_EQUAL(200, complete.status);
        constexpr std::size_t maxAnswerBytes = 260;
        for (std::size_t bytes = 0; bytes < maxAnswerBytes; ++bytes) {
            link_faults cut;
            cut.closeAfterBytesToClient = bytes;
            deployment.targets().front().proxy->setFaults(cut);
            const caller_result got = client.send("wilgoc", request);
            const bool isComplete = got.status == 200 && got.body == complete.body;
            const bool isError = got.status >= 500 && got.outcome != "done";
            CPPUNIT_ASSERT_MESSAGE("connection closed after " + std::to_string(bytes) + " bytes: " + std::to_string(got.status) + " "
                                       + got.body,
                                   isComplete || isError);
        }
    }

    void rejectsIncompleteAndMalformedAnswers()
    {
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
        const std::vector<std::string> answers{
            head + "Content-Length: 50\r\n\r\nshort",
            head + "\r\nno length at all",
            head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
            head + "X-Long: " + std::string(20000, 'x') + "\r\nContent-Length: 2\r\n\r\nok",
            "garbage\r\n\r\n",
            head + "X Odd: 1\r\nContent-Length: 2\r\n\r\nok",
            head + "Content-Length : 1\r\nContent-Length: 2\r\n\r\nok",
            head + "Transfer-Encoding: chunked\r\n\r\n2\r\nokX\r\n0\r\n\r\n",
            "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok",
            "HTTP/1.1 099 Odd\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            "HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\nok",
        };
        test_deployment deployment(planOf(1, false));
        CPPUNIT_ASSERT(deployment.start());
        caller client(deployment.gates());
        for (const auto &answer : answers) {
            deployment.targets().front().server->stop();
            raw_answer_server malformedServer(answer, true);
            CPPUNIT_ASSERT(awaitTrue([&] { return malformedServer.start(deployment.targets().front().address).has_value(); }, seconds(5)));
            caller_request request;
            request.target = "/wilgoc/read/1";
            const caller_result got = client.send("wilgoc", request);
            CPPUNIT_ASSERT_MESSAGE(answer.substr(0, 120) + " from the target gave " + got.body, got.status >= 500 && got.outcome != "done");
        }
    }

    /// Guards against a failure to connect in the second attempt that hides that the first one may have run.
    void promisesNothingAfterABrokenAnswerOnAReusedConnection()
    {
        test_deployment deployment(planOf(1, false));
        CPPUNIT_ASSERT(deployment.start());
        deployment.targets().front().server->stop();
        boost::asio::io_context loop{1};
        std::unique_ptr<scripted_backend> target;
        std::atomic<int> brokenAnswers{0};
        target = std::make_unique<scripted_backend>(loop, deployment.targets().front().address,
                                                    [&](const test_support::backend_request &request) -> test_support::backend_reply {
                                                        if (request.target() != "/wilgoc/read/broken") {
                                                            return {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", false, false};
                                                        }
                                                        ++brokenAnswers;
                                                        target->stopAccepting();
                                                        return {"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}", true, false};
                                                    });
        auto serving = std::async(std::launch::async, [&] { loop.run(); });
        caller client(deployment.gates());
        caller_request request;
        request.entry = deployment.nodes().front().gate;
        request.target = "/wilgoc/read/valid";
        const bool isServed = awaitTrue([&] { return client.send("wilgoc", request).status == 200; }, seconds(5));
        request.target = "/wilgoc/read/broken";
        const caller_result got = client.send("wilgoc", request);
        loop.stop();
        serving.get();
        CPPUNIT_ASSERT(isServed);
        CPPUNIT_ASSERT_EQUAL(1, brokenAnswers.load());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(got.body, std::string("unknown"), got.outcome);
    }

    /// Sends a request through a node that is no member of the service, and kills both members one after the other while it runs.
    static caller_result sendAndKillMembers(bool isReversed)
    {
        deployment_plan plan = planOf(1, false);
        plan.dataCentres = 1;
        test_deployment deployment(plan);
        CPPUNIT_ASSERT(deployment.start());
        backend_behaviour slow;
        slow.serviceTime = milliseconds(1500);
        deployment.targets().front().server->setBehaviour(slow);
        std::vector<std::size_t> members;
        caller_request request;
        for (std::size_t i = 0; i < deployment.nodes().size(); ++i) {
            const auto page = nlohmann::json::parse(deployment.status(i), nullptr, false);
            if (page["services"][0]["member"].get<bool>()) {
                members.push_back(i);
            } else {
                request.entry = deployment.nodes()[i].gate;
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), members.size());
        if (isReversed) {
            std::swap(members[0], members[1]);
        }
        caller client(deployment.gates());
        request.target = "/wilgoc/read/1";
        auto answer = std::async(std::launch::async, [&] { return client.send("wilgoc", request); });
        for (const std::size_t member : members) {
            std::this_thread::sleep_for(milliseconds(150));
            deployment.nodes()[member].process.signal(SIGKILL);
        }
        return answer.get();
    }

    /// Guards against a failure to reach the second member that hides that the first one has passed the request on. Only in one of the
    /// orders is the member without the request killed first.
    void promisesNothingWhenAMemberDiesWithARequestAndTheOtherIsGone()
    {
        for (const bool isReversed : {false, true}) {
            const caller_result got = sendAndKillMembers(isReversed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(got.body + got.detail, std::string("unknown"), got.outcome);
        }
    }

    /// A deployment whose only target gives the same answer to all work.
    class fixed_answer_fixture
    {
    public:
        explicit fixed_answer_fixture(const std::string &answer)
            : deployment(planOf(1, false))
            , m_answer(answer)
        {
            CPPUNIT_ASSERT(deployment.start());
            deployment.targets().front().server->stop();
            target = std::make_unique<scripted_backend>(m_loop, deployment.targets().front().address,
                                                        [this](const test_support::backend_request &) -> test_support::backend_reply {
                                                            ++arrivals;
                                                            return {m_answer, false, false};
                                                        });
            m_serving = std::async(std::launch::async, [this] { m_loop.run(); });
        }
        ~fixed_answer_fixture()
        {
            m_loop.stop();
            m_serving.wait();
        }
        fixed_answer_fixture(const fixed_answer_fixture &) = delete;
        fixed_answer_fixture &operator=(const fixed_answer_fixture &) = delete;

        /// Sends work that must not repeat through each entry VM, with the same key.
        std::vector<caller_result> sendThroughAll(int number)
        {
            caller client(deployment.gates());
            caller_request request;
            request.method = "POST";
            request.target = "/wilgoc/once/" + std::to_string(number);
            request.key = client.newKey(client.addresses("wilgoc").at(0));
            std::vector<caller_result> results;
            for (const auto &node : deployment.nodes()) {
                request.entry = node.gate;
                results.push_back(client.send("wilgoc", request));
            }
            return results;
        }

        test_deployment deployment;
        std::unique_ptr<scripted_backend> target;
        std::atomic<int> arrivals{0};

    private:
        std::string m_answer;
        boost::asio::io_context m_loop{1};
        std::future<void> m_serving;
    };

    /// Guards against a status or body of a backend server, or of another node, that a caller takes for the promise that its work did not
    /// run, at the key's node, at a node that forwards to it, and when the work is repeated.
    void promisesOfNoWorkThatMayHaveRunThatItDidNotRun()
    {
        const std::string problem = R"({"status":409,"outcome":"not run"})";
        const std::vector<std::string> answers{
            "HTTP/1.1 408 Late\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 429 Many\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 503 Failed\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 409 Conflict\r\nContent-Type: application/problem+json\r\nContent-Length: " + std::to_string(problem.size())
                + "\r\n\r\n" + problem,
        };
        for (const std::string &answer : answers) {
            fixed_answer_fixture fixture(answer);
            for (const caller_result &got : fixture.sendThroughAll(1)) {
                CPPUNIT_ASSERT_MESSAGE(answer + got.body, got.status == 502 || got.status == 504);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(answer + got.body, std::string("unknown"), got.outcome);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, 1, fixture.arrivals.load());
        }
    }

    /// Guards against the answer of a backend server that is taken for a refusal by the HTTP library, which promises "not run" for 413.
    void passesOnAnErrorWithoutABodyAsTheServersAnswer()
    {
        for (const std::string status : {"413 Large", "500 Failed"}) {
            fixed_answer_fixture fixture("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n");
            for (const caller_result &got : fixture.sendThroughAll(1)) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(got.body, std::stoi(status), got.status);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(got.body, std::string("done"), got.outcome);
            }
        }
    }

    void believesAServerThatStatesThatItDidNotRunTheWork()
    {
        for (const std::string status : {"503 Full", "429 Many", "408 Late"}) {
            fixed_answer_fixture fixture("HTTP/1.1 " + status + "\r\nRequest-Not-Run: true\r\nContent-Length: 0\r\n\r\n");
            for (const caller_result &got : fixture.sendThroughAll(1)) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(got.body, std::stoi(status), got.status);
            }
        }
    }

    void rejectsInvalidRequestsWithoutAffectingOtherCallers()
    {
        test_deployment deployment(planOf(4, false));
        CPPUNIT_ASSERT(deployment.start());
        const auto gate = deployment.nodes().front().gate;
        std::atomic<bool> isDone{false};
        std::atomic<int> failedRequests{0};
        auto otherCaller = std::async(std::launch::async, [&] {
            caller client(deployment.gates());
            while (!isDone) {
                caller_request request;
                request.target = "/wilgoc/read/2";
                failedRequests += client.send("wilgoc", request).status == 200 ? 0 : 1;
            }
        });
        const std::vector<std::pair<std::string, std::string>> cases{
            {"nonsense\r\n\r\n", "400"},
            {"GET /" + std::string(3000, 'a') + " HTTP/1.1\r\nHost: x\r\n\r\n", "414"},
            {"GET / HTTP/1.1\r\nX: " + std::string(20000, 'a') + "\r\n\r\n", "431"},
            {"POST /wilgoc/once/1 HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400"},
            {"POST /wilgoc/once/1 HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na", "400"},
            {"POST /wilgoc/once/1 HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n", "413"},
            {"GET /nowhere HTTP/1.1\r\nConnection: close\r\n\r\n", "404"},
            {"POST /wilgoc/once/1 HTTP/1.1\r\nConnection: close\r\nIdempotency-Key: " + std::string(500, 'k') + "\r\n\r\n", "400"},
            {"POST /wilgoc/once/1 HTTP/1.1\r\nConnection: close\r\n\r\n", "400"},
            {"GET / HTTP/1.1\r\nHost: slow", "408"},
        };
        std::vector<std::string> answers;
        for (const auto &each : cases) {
            answers.push_back(exchangeRaw(gate, each.first, rawTimeoutMs));
        }
        // The thread must end before the first assertion: a failure would leave it running, and its future would wait forever.
        isDone = true;
        otherCaller.get();
        for (std::size_t i = 0; i < cases.size(); ++i) {
            const auto &[bytes, status] = cases[i];
            const std::string &answer = answers[i];
            CPPUNIT_ASSERT_MESSAGE(bytes.substr(0, 60) + " gave " + answer.substr(0, 200), answer.rfind("HTTP/1.1 " + status, 0) == 0);
            CPPUNIT_ASSERT_MESSAGE(answer, answer.find("application/problem+json") != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(0, failedRequests.load());
    }

    void servesNewCallersWhileIdleAndSlowOnesHoldConnections()
    {
        test_deployment deployment(planOf(4, false));
        CPPUNIT_ASSERT(deployment.start());
        const auto gate = deployment.nodes().front().gate;
        std::vector<std::unique_ptr<caller>> idle;
        caller_request request;
        request.target = "/wilgoc/read/3";
        request.entry = gate;
        for (int i = 0; i < 300; ++i) {
            idle.push_back(std::make_unique<caller>(std::vector<flamingofield::endpoint>{gate}));
            CPPUNIT_ASSERT_EQUAL(200, idle.back()->send("wilgoc", request).status);
        }
        std::vector<std::future<void>> slow;
        for (int i = 0; i < 100; ++i) {
            slow.push_back(std::async(std::launch::async, [&] { exchangeRaw(gate, "GET / HTTP/1.1\r\nHost: half", rawTimeoutMs); }));
        }
        constexpr milliseconds rankDeadline{2000};
        for (int i = 0; i < 50; ++i) {
            caller newCaller({gate});
            request.timeout = rankDeadline;
            const caller_result got = newCaller.send("wilgoc", request);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(got.detail + got.body, 200, got.status);
        }
        for (auto &thread : slow) {
            thread.get();
        }
    }

    /// A connection that finds the accept queue full is established only after a repeated SYN, a second later.
    void acceptsABurstOfConnectionsWhileTheProcessIsPaused()
    {
        test_deployment deployment(planOf(4, false));
        CPPUNIT_ASSERT(deployment.start());
        const auto &node = deployment.nodes().front();
        constexpr std::size_t burst = 400;
        constexpr milliseconds pause{300};
        constexpr milliseconds allowance{200};
        for (const auto &address : {node.gate, node.admin}) {
            node.process.signal(SIGSTOP);
            auto resumed = std::async(std::launch::async, [&] {
                std::this_thread::sleep_for(pause);
                node.process.signal(SIGCONT);
            });
            const auto times = openConnectionBurst(address, burst, seconds(5));
            resumed.get();
            CPPUNIT_ASSERT_EQUAL(burst, times.size());
            CPPUNIT_ASSERT_MESSAGE(std::to_string(flamingofield::toMilliseconds(times.back())) + " ms until the last connection",
                                   times.back() <= pause + allowance);
        }
        caller client({node.gate});
        caller_request request;
        request.target = "/wilgoc/read/5";
        CPPUNIT_ASSERT_EQUAL(200, client.send("wilgoc", request).status);
    }

    void replacesSilentConnectionsToTargets()
    {
        test_deployment deployment(planOf(2, true));
        CPPUNIT_ASSERT(deployment.start());
        caller client(deployment.gates());
        caller_request request;
        request.target = "/wilgoc/read/4";
        for (int i = 0; i < 60; ++i) {
            CPPUNIT_ASSERT_EQUAL(200, client.send("wilgoc", request).status);
        }
        for (auto &target : deployment.targets()) {
            link_faults silence;
            silence.silenceExisting = true;
            target.proxy->setFaults(silence);
        }
        for (int i = 0; i < 60; ++i) {
            const caller_result got = client.send("wilgoc", request);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(got.detail + got.body, 200, got.status);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, deployment.counterSum("ejections_total"));
        CPPUNIT_ASSERT(deployment.counterSum("silent_connections_total") > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answer_tests);

} // namespace
