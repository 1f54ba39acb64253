#include "proxy/request_proxy.hpp"
#include "support/log_recorder.hpp"
#include "support/scripted_backend.hpp"

#include <boost/asio/steady_timer.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <tuple>
#include <unistd.h>

using namespace flamingofield;
using test_support::backend_reply;
using test_support::backend_request;
using test_support::scripted_backend;

namespace {

constexpr std::uint16_t backendPort = 7000;

/// Caller that stores the answer it receives.
class fake_caller : public pending_request
{
public:
    explicit fake_caller(http_request_message request)
        : m_request(std::move(request))
    {
    }

    void answer(const http_answer_message &answer) override
    {
        ++answers;
        received = answer;
    }
    void onClientDisconnect(std::function<void()> handler) override
    {
        onLeave = std::move(handler);
    }
    const http_request_message &request() const override
    {
        return m_request;
    }

    std::optional<http_answer_message> received;
    std::function<void()> onLeave;
    int answers = 0;

private:
    http_request_message m_request;
};

/// A request proxy with scripted backend servers on one event loop.
class proxy_fixture
{
public:
    explicit proxy_fixture(const std::vector<scripted_backend::script> &scripts)
        : proxyUnderTest(loop, names(), targets, retries, outcomes, connections, metrics)
    {
        static int instance = 0;
        const std::string net = "127." + std::to_string(10 + getpid() % 200) + "." + std::to_string(++instance % 250) + ".";
        target_snapshot snapshot;
        for (std::size_t i = 0; i < scripts.size(); ++i) {
            target_entry entry;
            entry.id = "t" + std::to_string(i);
            entry.service = "s";
            entry.dataCentre = "here";
            entry.slots = 2;
            entry.address = {net + std::to_string(i + 1), backendPort};
            backends.push_back(std::make_unique<scripted_backend>(loop, entry.address, scripts[i]));
            snapshot.targets.push_back(entry);
        }
        targets.apply(snapshot, std::chrono::steady_clock::now());
        config = std::make_shared<active_config>();
        addRoute("read", "/read/", retry_policy::idempotent);
        addRoute("write", "/write/", retry_policy::atMostOnce);
        config->router = host_router(config->config.routes);
        proxyUnderTest.setConfig(config);
    }

    static proxy_field_names names()
    {
        return {"X-Id", "X-Deadline", "X-Seal", "X-Expect", "X-Load", "X-Not-Run", "X-Leaving", "X-Key", "X-Account"};
    }

    /// Makes accounts necessary: "gold" with a key "gold-key" and priority 0, "plain" with "plain-key".
    void requireAccounts()
    {
        account_definition gold;
        gold.account.name = "gold";
        gold.account.priority = 0;
        gold.keys = {"gold-key"};
        account_definition plain;
        plain.account.name = "plain";
        plain.keys = {"plain-key"};
        config = std::make_shared<active_config>(*config);
        config->config.accounts = account_directory::make({gold, plain}).value();
        for (forward_route &route : config->config.routes) {
            route.isPublic = route.name == "read";
            route.priority = 1;
        }
        config->router = host_router(config->config.routes);
        proxyUnderTest.setConfig(config);
    }

    std::shared_ptr<fake_caller> send(const std::string &target, const std::string &id, int deadlineMs = 2000, const std::string &key = {},
                                      const std::shared_ptr<memory_reservation> &bodyMemory = nullptr)
    {
        http_request_message request;
        request.method = "POST";
        request.target = target;
        request.body = http_body("payload", bodyMemory);
        request.fields.add("Host", "a.example");
        request.fields.add("X-Id", id);
        request.fields.add("X-Deadline", std::to_string(deadlineMs));
        request.fields.add("Connection", "keep-alive, X-Hop");
        request.fields.add("X-Hop", "1");
        request.fields.add("X-End", "2");
        request.fields.add("X-Account", "forged");
        if (!key.empty()) {
            request.fields.add("X-Key", key);
        }
        auto caller = std::make_shared<fake_caller>(request);
        proxyUnderTest.handle(caller);
        return caller;
    }

    void run(milliseconds length)
    {
        const auto end = std::chrono::steady_clock::now() + length;
        while (std::chrono::steady_clock::now() < end) {
            loop.restart();
            loop.run_for(milliseconds(5));
            proxyUnderTest.tick(std::chrono::steady_clock::now());
        }
    }

    /// Runs until the caller has its answer.
    /// @return its status, 0 if none came within the time
    int await(const std::shared_ptr<fake_caller> &caller, milliseconds limit = milliseconds(3000))
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!caller->received && std::chrono::steady_clock::now() < end) {
            run(milliseconds(5));
        }
        return caller->received ? caller->received->status : 0;
    }

    std::size_t arrivals() const
    {
        std::size_t count = 0;
        for (const auto &backend : backends) {
            count += backend->requests.size();
        }
        return count;
    }

    boost::asio::io_context loop{1};
    proxy_metrics metrics;
    connection_pool connections;
    target_table targets{"here", 1};
    fleet_retry_budget retries{retry_limits{}};
    outcome_window outcomes;
    request_proxy proxyUnderTest;
    std::shared_ptr<active_config> config;
    std::vector<std::unique_ptr<scripted_backend>> backends;

private:
    void addRoute(const std::string &name, const std::string &prefix, retry_policy retryPolicy)
    {
        forward_route route;
        route.name = name;
        route.host = "a.example";
        route.prefix = prefix;
        route.retryPolicy = retryPolicy;
        route.timeout = milliseconds(1000);
        route.latencyObjective = milliseconds(500);
        route.attempts = 2;
        route.services = {{"s", 1.0}};
        config->config.routes.push_back(route);
    }
};

std::string idOf(const backend_request &request)
{
    return std::string(request["X-Id"]);
}

std::string completeAnswer(const std::string &id, const std::string &body = "done")
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Seal: seal\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

backend_reply serve(const backend_request &request)
{
    return {completeAnswer(idOf(request)), false, false, {}};
}
backend_reply truncatedAnswer(const backend_request &request)
{
    const std::string bytes = completeAnswer(idOf(request));
    return {bytes.substr(0, bytes.size() - 2), true, false};
}
backend_reply closeWithoutAnswer(const backend_request &)
{
    return {"", true, false};
}
backend_reply fail(const backend_request &request)
{
    return {"HTTP/1.1 500 Error\r\nX-Id: " + idOf(request) + "\r\nX-Seal: bad\r\nContent-Length: 0\r\n\r\n", false, false};
}
/// Answers with a failure that bears the target's seal.
/// @param fields further lines of the head
scripted_backend::script answerWithFailure(const std::string &status, const std::string &fields = {})
{
    return [status, fields](const backend_request &request) -> backend_reply {
        return {"HTTP/1.1 " + status + "\r\nX-Id: " + idOf(request) + "\r\nX-Seal: bad\r\n" + fields + "Content-Length: 0\r\n\r\n", false,
                false};
    };
}
backend_reply shed(const backend_request &)
{
    return {"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", false, false};
}
backend_reply shedWithId(const backend_request &request)
{
    return {"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Id: " + idOf(request) + "\r\nContent-Length: 0\r\n\r\n", false, false};
}
backend_reply serveWhileLeaving(const backend_request &request)
{
    const std::string body = "done";
    return {"HTTP/1.1 200 OK\r\nX-Leaving: 1\r\nX-Id: " + idOf(request)
                + "\r\nX-Seal: seal\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
            false, false};
}
/// Sheds the request and asks for no further ones for a time.
scripted_backend::script shedFor(const std::string &retryAfter)
{
    return [retryAfter](const backend_request &) -> backend_reply {
        return {"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nRetry-After: " + retryAfter + "\r\nContent-Length: 0\r\n\r\n", false, false};
    };
}
backend_reply hang(const backend_request &)
{
    return {"", false, false};
}

class request_proxy_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_proxy_tests);
    CPPUNIT_TEST(forwardsTheRequestUnchangedButForHopByHopFields);
    CPPUNIT_TEST(answers502WhenTheTargetsAnswerIsTruncated);
    CPPUNIT_TEST(doesNotRetryANonIdempotentRequestWhoseAnswerIsLost);
    CPPUNIT_TEST(retriesAnIdempotentRequestWhoseAnswerIsLostOnAnotherTarget);
    CPPUNIT_TEST(logsEveryAttemptAlsoWhenATargetIsTriedTwice);
    CPPUNIT_TEST(retriesANonIdempotentRequestOnlyAfterATargetShedIt);
    CPPUNIT_TEST(answers503WhenAllTargetsShed);
    CPPUNIT_TEST(sendsNothingToATargetThatAnsweredThatItIsLeaving);
    CPPUNIT_TEST(sendsNothingToATargetForTheTimeThatItAskedFor);
    CPPUNIT_TEST(refusesAtOnceWhileAllTargetsAskedForALongerTimeThanTheRequestHas);
    CPPUNIT_TEST(refusesQueuedRequestsOnceAllTargetsAskForALongerTime);
    CPPUNIT_TEST(ignoresAndLogsAnUnreadableRetryAfterOfATarget);
    CPPUNIT_TEST(forwardsTheErrorAnswerOfATargetUnchanged);
    CPPUNIT_TEST(promisesOfNoRequestThatMayHaveRunThatItDidNotRun);
    CPPUNIT_TEST(forwardsStatusesThatPromiseNotRunToIdempotentRequests);
    CPPUNIT_TEST(sendsARequestAgainWhenATargetStatesThatItDidNotRun);
    CPPUNIT_TEST(passesOnThatNoTargetRanTheRequest);
    CPPUNIT_TEST(rejectsTheAnswerOfAnotherRequest);
    CPPUNIT_TEST(doesNotTakeARepeatedAnswerForTheAnswerToTheNextAttempt);
    CPPUNIT_TEST(doesNotTakeAnAnswerWithoutIdForTheAnswerToALaterRequest);
    CPPUNIT_TEST(rejectsUnsealedAndEncodedSuccesses);
    CPPUNIT_TEST(rejectsAnUnframedAnswerWhoseConnectionIsReset);
    CPPUNIT_TEST(answersAtTheRoutesTimeout);
    CPPUNIT_TEST(endsAnExchangeWhoseBytesNeverEnd);
    CPPUNIT_TEST(boundsTheMemoryOfAllAnswersThatNeverEnd);
    CPPUNIT_TEST(refusesOnlyWaitingRequestsForTheirMemory);
    CPPUNIT_TEST(deliversAnAnswerThatIsFollowedByBytesWithoutEnd);
    CPPUNIT_TEST(logsWhyATargetIsSuspected);
    CPPUNIT_TEST(cancelsAnIdempotentRequestWhenItsCallerLeaves);
    CPPUNIT_TEST(completesANonIdempotentRequestWhenItsCallerLeaves);
    CPPUNIT_TEST(refusesWithoutConfigurationAndWithoutTargets);
    CPPUNIT_TEST(refusesRequestsWithoutAKnownKey);
    CPPUNIT_TEST(tellsTheTargetTheAccountAndNeverTheKey);
    CPPUNIT_TEST(putsTheAccountsPriorityBeforeTheRoutes);
    CPPUNIT_TEST(refusesAtOnceWhatCannotBeServedInTime);
    CPPUNIT_TEST(usesAnotherTargetWhenOneRefusesConnections);
    CPPUNIT_TEST(suspectsATargetThatResetsARequestButNotOneThatDroppedAnIdleConnection);
    CPPUNIT_TEST(doesNotReuseConnectionsIdleForAsLongAsDroppedOnes);
    CPPUNIT_TEST(passesByATargetThatHangs);
    CPPUNIT_TEST(deliversOneAnswerOfTwoAttemptsAndAFailureOnlyAfterBoth);
    CPPUNIT_TEST(sendsNoSecondAttemptOfUnsafeRequestsOrBeyondTheRoutesAttempts);
    CPPUNIT_TEST(cancelsBothAttemptsWhenTheCallerLeaves);
    CPPUNIT_TEST_SUITE_END();

    void forwardsTheRequestUnchangedButForHopByHopFields()
    {
        proxy_fixture b({serve});
        const auto caller = b.send("/write/a/b?q=1&r=%20x", "id1", 900);
        CPPUNIT_ASSERT_EQUAL(200, b.await(caller));
        const backend_request &seen = b.backends[0]->requests.at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("/write/a/b?q=1&r=%20x"), std::string(seen.target()));
        CPPUNIT_ASSERT_EQUAL(std::string("payload"), seen.body());
        CPPUNIT_ASSERT_EQUAL(std::string("id1"), idOf(seen));
        CPPUNIT_ASSERT_EQUAL(std::string("t0"), std::string(seen["X-Expect"]));
        CPPUNIT_ASSERT_EQUAL(std::string("2"), std::string(seen["X-End"]));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), seen.count("X-Hop"));
        const int passedOn = std::stoi(std::string(seen["X-Deadline"]));
        CPPUNIT_ASSERT(passedOn > 0 && passedOn <= 900);
        CPPUNIT_ASSERT_EQUAL(std::string("done"), caller->received->body.text());
        CPPUNIT_ASSERT_EQUAL(std::string("seal"), std::string(caller->received->fields.value("X-Seal")));
    }

    void answers502WhenTheTargetsAnswerIsTruncated()
    {
        proxy_fixture b({truncatedAnswer});
        const auto caller = b.send("/write/", "id1");
        CPPUNIT_ASSERT_EQUAL(502, b.await(caller));
        CPPUNIT_ASSERT(!caller->received->fields.has("X-Seal"));
    }

    void doesNotRetryANonIdempotentRequestWhoseAnswerIsLost()
    {
        proxy_fixture b({closeWithoutAnswer, closeWithoutAnswer});
        const auto caller = b.send("/write/", "id1");
        // 502 leaves open whether the request ran; 503 would say that it did not.
        CPPUNIT_ASSERT_EQUAL(502, b.await(caller));
        b.run(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), b.arrivals());
        CPPUNIT_ASSERT_EQUAL(1, caller->answers);
    }

    void retriesAnIdempotentRequestWhoseAnswerIsLostOnAnotherTarget()
    {
        int calls = 0;
        const auto firstIsLost = [&](const backend_request &request) { return ++calls == 1 ? truncatedAnswer(request) : serve(request); };
        proxy_fixture b({firstIsLost, firstIsLost});
        const auto caller = b.send("/read/", "id1");
        CPPUNIT_ASSERT_EQUAL(200, b.await(caller));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), b.backends[0]->requests.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), b.backends[1]->requests.size());
    }

    void logsEveryAttemptAlsoWhenATargetIsTriedTwice()
    {
        int calls = 0;
        proxy_fixture b({[&](const backend_request &request) { return ++calls == 1 ? fail(request) : serve(request); }});
        const test_support::log_recorder log;
        CPPUNIT_ASSERT_EQUAL(200, b.await(b.send("/read/", "id1")));
        CPPUNIT_ASSERT(log.contains(" attempt=2 "));
        CPPUNIT_ASSERT(log.contains(" attempts=2 "));
    }

    void retriesANonIdempotentRequestOnlyAfterATargetShedIt()
    {
        int calls = 0;
        const auto firstSheds = [&](const backend_request &request) { return ++calls == 1 ? shed(request) : serve(request); };
        proxy_fixture b({firstSheds, firstSheds});
        CPPUNIT_ASSERT_EQUAL(200, b.await(b.send("/write/", "id1")));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), b.arrivals());
    }

    /// Estimated probability that a target is unhealthy after it reset a reused connection on the second request.
    static double unhealthyProbabilityAfterReset(milliseconds delay)
    {
        int calls = 0;
        const auto secondIsReset = [&](const backend_request &request) {
            return ++calls == 2 ? backend_reply{"", false, true, delay} : serve(request);
        };
        proxy_fixture b({secondIsReset});
        CPPUNIT_ASSERT_EQUAL(200, b.await(b.send("/write/", "id1")));
        CPPUNIT_ASSERT_EQUAL(502, b.await(b.send("/write/", "id2")));
        CPPUNIT_ASSERT_EQUAL(1, b.backends[0]->connections);
        return b.targets.rows().begin()->second.health.unhealthyProbability(std::chrono::steady_clock::now());
    }

    void suspectsATargetThatResetsARequestButNotOneThatDroppedAnIdleConnection()
    {
        CPPUNIT_ASSERT(unhealthyProbabilityAfterReset(milliseconds(0)) < 0.05);
        CPPUNIT_ASSERT(unhealthyProbabilityAfterReset(milliseconds(100)) > 0.1);
    }

    /// A target that drops idle connections without notice resets the next request on them.
    void doesNotReuseConnectionsIdleForAsLongAsDroppedOnes()
    {
        int calls = 0;
        const auto everySecondIsReset = [&](const backend_request &request) {
            return ++calls % 2 == 0 && calls <= 4 ? backend_reply{"", false, true, {}} : serve(request);
        };
        proxy_fixture b({everySecondIsReset});
        int number = 0;
        for (const int expected : {200, 502, 200, 502, 200}) {
            b.run(milliseconds(150));
            CPPUNIT_ASSERT_EQUAL(expected, b.await(b.send("/write/", "id" + std::to_string(++number))));
        }
        CPPUNIT_ASSERT_EQUAL(3, b.backends[0]->connections);
        b.run(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(200, b.await(b.send("/write/", "last")));
        CPPUNIT_ASSERT_EQUAL(4, b.backends[0]->connections);
    }

    void answers503WhenAllTargetsShed()
    {
        proxy_fixture b({shed, shed});
        b.retries.setLimits({0.0, 0.0, seconds(10)}); // No retry is allowed.
        const auto caller = b.send("/write/", "id1");
        CPPUNIT_ASSERT_EQUAL(503, b.await(caller));
        CPPUNIT_ASSERT(caller->received->fields.has("Retry-After"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), b.arrivals());
    }

    void sendsNothingToATargetThatAnsweredThatItIsLeaving()
    {
        test_support::log_recorder log;
        proxy_fixture fixture({serveWhileLeaving, serve});
        for (int i = 0; i < 20; ++i) {
            CPPUNIT_ASSERT_EQUAL(200, fixture.await(fixture.send("/read/1", "r" + std::to_string(i))));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.backends[0]->requests.size());
        CPPUNIT_ASSERT(log.contains("event=target_leaving target=t0 source=answer"));
    }

    void sendsNothingToATargetForTheTimeThatItAskedFor()
    {
        test_support::log_recorder log;
        proxy_fixture fixture({shedFor("0.6"), serve});
        const auto sendMany = [&](const std::string &name) {
            for (int i = 0; i < 12; ++i) {
                CPPUNIT_ASSERT_EQUAL(200, fixture.await(fixture.send("/write/1", name + std::to_string(i))));
                fixture.run(milliseconds(20));
            }
        };
        sendMany("a");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.backends[0]->requests.size());
        CPPUNIT_ASSERT(log.contains("event=target_closed"));
        fixture.run(milliseconds(700));
        sendMany("b");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.backends[0]->requests.size());
    }

    /// Nothing can serve the request in its time, so its caller must not wait for the deadline.
    void refusesAtOnceWhileAllTargetsAskedForALongerTimeThanTheRequestHas()
    {
        proxy_fixture fixture({shedFor("30"), shedFor("30")});
        fixture.await(fixture.send("/write/1", "first"));
        fixture.await(fixture.send("/write/1", "second"));
        const auto sentAt = std::chrono::steady_clock::now();
        const auto caller = fixture.send("/write/1", "third");
        CPPUNIT_ASSERT_EQUAL(503, fixture.await(caller));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - sentAt < milliseconds(50));
        CPPUNIT_ASSERT(caller->received->fields.has("Retry-After"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.arrivals());
    }

    void refusesQueuedRequestsOnceAllTargetsAskForALongerTime()
    {
        const auto shedLater = [](const backend_request &request) {
            backend_reply reply = shedFor("30")(request);
            reply.delay = milliseconds(100);
            return reply;
        };
        proxy_fixture fixture({shedLater});
        std::vector<std::shared_ptr<fake_caller>> callers;
        const auto sentAt = std::chrono::steady_clock::now();
        for (int i = 0; i < 4; ++i) { // Two slots, so two of them wait.
            callers.push_back(fixture.send("/write/1", "r" + std::to_string(i)));
        }
        for (const auto &caller : callers) {
            CPPUNIT_ASSERT_EQUAL(503, fixture.await(caller));
        }
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - sentAt < milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.arrivals());
    }

    void ignoresAndLogsAnUnreadableRetryAfterOfATarget()
    {
        for (const std::string value : {"soon", "-3", "nan", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
            test_support::log_recorder log;
            proxy_fixture fixture({shedFor(value)});
            fixture.await(fixture.send("/write/1", "first"));
            CPPUNIT_ASSERT_MESSAGE(value, log.contains("event=retry_after_ignored"));
            fixture.run(milliseconds(300));
            fixture.await(fixture.send("/write/1", "second"));
            CPPUNIT_ASSERT(fixture.arrivals() > 1);
        }
    }

    void forwardsTheErrorAnswerOfATargetUnchanged()
    {
        proxy_fixture b({fail});
        const auto caller = b.send("/write/", "id1");
        CPPUNIT_ASSERT_EQUAL(500, b.await(caller));
        CPPUNIT_ASSERT_EQUAL(std::string("bad"), std::string(caller->received->fields.value("X-Seal")));
    }

    /// Guards against a caller that repeats a non-idempotent request which has run, because its answer had a status that promises "not
    /// run".
    void promisesOfNoRequestThatMayHaveRunThatItDidNotRun()
    {
        for (const std::string status : {"408 Late", "429 Many", "503 Failed"}) {
            const auto failure = answerWithFailure(status, "Retry-After: 1\r\n");
            proxy_fixture b({failure, failure});
            const auto caller = b.send("/write/", "id1");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(status, 502, b.await(caller));
            CPPUNIT_ASSERT_MESSAGE(status, !caller->received->fields.has("X-Seal") && !caller->received->fields.has("Retry-After"));
            CPPUNIT_ASSERT_EQUAL(std::string("id1"), std::string(caller->received->fields.value("X-Id")));
            b.run(milliseconds(100));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(status, std::size_t(1), b.arrivals());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(status, 1, caller->answers);
        }
    }

    /// A caller may repeat an idempotent request in any case, so it gets the target's answer with what that says about a repetition.
    void forwardsStatusesThatPromiseNotRunToIdempotentRequests()
    {
        for (const auto &[status, number] : {std::pair<std::string, int>("408 Late", 408), {"429 Many", 429}, {"503 Failed", 503}}) {
            const auto failure = answerWithFailure(status, "Retry-After: 1\r\n");
            proxy_fixture b({failure, failure});
            const auto caller = b.send("/read/", "id1");
            CPPUNIT_ASSERT_EQUAL(number, b.await(caller));
            CPPUNIT_ASSERT_EQUAL(std::string("bad"), std::string(caller->received->fields.value("X-Seal")));
        }
    }

    void sendsARequestAgainWhenATargetStatesThatItDidNotRun()
    {
        const std::string field = "X-Not-Run: 1\r\n";
        for (const auto &refusal : {answerWithFailure("408 Late", field), answerWithFailure("429 Many", field),
                                    answerWithFailure("503 Full", field), answerWithFailure("421 Other")}) {
            int calls = 0;
            const auto firstRefuses = [&](const backend_request &request) { return ++calls == 1 ? refusal(request) : serve(request); };
            proxy_fixture b({firstRefuses, firstRefuses});
            CPPUNIT_ASSERT_EQUAL(200, b.await(b.send("/write/", "id1")));
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), b.arrivals());
        }
    }

    void passesOnThatNoTargetRanTheRequest()
    {
        const std::string field = "X-Not-Run: 1\r\n";
        for (const auto &refusal : {answerWithFailure("408 Late", field), answerWithFailure("429 Many", field),
                                    answerWithFailure("503 Full", field), answerWithFailure("421 Other")}) {
            proxy_fixture b({refusal});
            b.retries.setLimits({0.0, 0.0, seconds(10)}); // No retry is allowed.
            const auto caller = b.send("/write/", "id1");
            CPPUNIT_ASSERT_EQUAL(503, b.await(caller));
            CPPUNIT_ASSERT(caller->received->fields.has("Retry-After") && !caller->received->fields.has("X-Seal"));
        }
    }

    void rejectsTheAnswerOfAnotherRequest()
    {
        const auto strayAnswerFirst = [](const backend_request &request) {
            return backend_reply{completeAnswer("other", "stray") + completeAnswer(idOf(request)), false, false};
        };
        proxy_fixture b({strayAnswerFirst});
        const auto caller = b.send("/write/", "id1");
        CPPUNIT_ASSERT_EQUAL(200, b.await(caller));
        CPPUNIT_ASSERT_EQUAL(std::string("done"), caller->received->body.text());
        // The connection is not reused, since more unexpected bytes may follow on it.
        b.await(b.send("/write/", "id2"));
        CPPUNIT_ASSERT_EQUAL(2, b.backends[0]->connections);
    }

    /// Guards against a refusal or failure that a target sends once more, late, and that is taken for the answer to the second attempt of
    /// the same request: the request runs again, or its caller learns that it did not run.
    void doesNotTakeARepeatedAnswerForTheAnswerToTheNextAttempt()
    {
        for (const auto &[path, first] : std::vector<std::pair<std::string, scripted_backend::script>>{
                 {"/write/", shedWithId}, {"/read/", shedWithId}, {"/read/", fail}}) {
            const scripted_backend *backend = nullptr;
            const auto repeatsFirst = [&backend, first = first](const backend_request &request) {
                if (backend->requests.size() == 1) {
                    return first(request);
                }
                const std::string repeated = backend->connections == 1 ? first(request).bytes : "";
                return backend_reply{repeated + completeAnswer(idOf(request)), false, false};
            };
            proxy_fixture fixture({repeatsFirst});
            backend = fixture.backends[0].get();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 200, fixture.await(fixture.send(path, "id1")));
            fixture.run(milliseconds(100));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, std::size_t(2), fixture.arrivals());
        }
    }

    /// Guards against an answer that cannot be told from one to an earlier request and passes for a refusal of the current one.
    void doesNotTakeAnAnswerWithoutIdForTheAnswerToALaterRequest()
    {
        int calls = 0;
        proxy_fixture fixture({[&](const backend_request &request) {
            return ++calls == 2 ? backend_reply{shed(request).bytes + completeAnswer(idOf(request)), false, false} : serve(request);
        }});
        CPPUNIT_ASSERT_EQUAL(200, fixture.await(fixture.send("/write/", "id1")));
        CPPUNIT_ASSERT_EQUAL(200, fixture.await(fixture.send("/write/", "id2")));
        fixture.run(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.arrivals());
    }

    void rejectsUnsealedAndEncodedSuccesses()
    {
        const auto unsealed = [](const backend_request &request) {
            return backend_reply{"HTTP/1.1 200 OK\r\nX-Id: " + idOf(request) + "\r\nContent-Length: 1\r\n\r\nx", false, false};
        };
        const auto encoded = [](const backend_request &request) {
            return backend_reply{"HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: " + idOf(request)
                                     + "\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx",
                                 false, false};
        };
        proxy_fixture first({unsealed});
        CPPUNIT_ASSERT_EQUAL(502, first.await(first.send("/write/", "id1")));
        proxy_fixture second({encoded});
        CPPUNIT_ASSERT_EQUAL(502, second.await(second.send("/write/", "id1")));
    }

    void rejectsAnUnframedAnswerWhoseConnectionIsReset()
    {
        const std::string unframed = "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: id1\r\n\r\npart";
        proxy_fixture closed({[&](const backend_request &) { return backend_reply{unframed, true, false}; }});
        CPPUNIT_ASSERT_EQUAL(200, closed.await(closed.send("/write/", "id1")));
        proxy_fixture reset({[&](const backend_request &) { return backend_reply{unframed, false, true}; }});
        CPPUNIT_ASSERT_EQUAL(502, reset.await(reset.send("/write/", "id1")));
    }

    static scripted_backend::script endless(const std::string &start, const std::string &repeated)
    {
        return [start, repeated](const backend_request &) {
            backend_reply reply;
            reply.bytes = start;
            reply.endlessBytes = repeated;
            return reply;
        };
    }

    /// Bytes that are no answer, in a head or a body, must neither reach the caller nor keep it waiting beyond its time.
    void endsAnExchangeWhoseBytesNeverEnd()
    {
        const std::string head = "HTTP/1.1 200 OK\r\nX-Seal: seal\r\n";
        const std::vector<std::pair<std::string, std::string>> cases{
            {"garbage", "more garbage"},
            {"HTTP/1.1 200 ", std::string(4096, 'x')},
            {head, "X-More: and more\r\n"},
            {head + "X-Long: ", std::string(4096, 'x')},
            {head + "\r\n", std::string(4096, 'x')},
            {head + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n"},
            {head + "Transfer-Encoding: chunked\r\n\r\n5;", std::string(4096, 'x')},
            {head + "Content-Length: 1000000000000\r\n\r\n", std::string(4096, 'x')},
            {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n"},
        };
        for (const auto &[start, repeated] : cases) {
            proxy_fixture fixture({endless(start, repeated)});
            const auto sentAt = std::chrono::steady_clock::now();
            const auto caller = fixture.send("/write/1", "r1");
            const int status = fixture.await(caller);
            CPPUNIT_ASSERT_MESSAGE(start + " gave " + std::to_string(status), status == 502 || status == 504);
            CPPUNIT_ASSERT_MESSAGE(start, std::chrono::steady_clock::now() - sentAt < milliseconds(1300));
            CPPUNIT_ASSERT(caller->received->body.find("xxxx") == std::string::npos);
            fixture.run(milliseconds(50));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(start, 0, fixture.backends[0]->openEndlessReplies);
        }
    }

    void boundsTheMemoryOfAllAnswersThatNeverEnd()
    {
        constexpr std::size_t limit = 1U << 20U;
        std::vector<scripted_backend::script> scripts(10, endless("HTTP/1.1 200 OK\r\nX-Seal: seal\r\n\r\n", std::string(65536, 'x')));
        proxy_fixture fixture(scripts);
        fixture.proxyUnderTest.setMemory(std::make_shared<memory_budget>(limit));
        std::vector<std::shared_ptr<fake_caller>> callers;
        for (int i = 0; i < 20; ++i) {
            callers.push_back(fixture.send("/write/1", "r" + std::to_string(i)));
        }
        for (const auto &caller : callers) {
            CPPUNIT_ASSERT_EQUAL(502, fixture.await(caller));
        }
        std::size_t sent = 0;
        for (const auto &backend : fixture.backends) {
            sent += backend->endlessBytesSent;
        }
        // What is in the sockets' buffers comes on top; without the bound each answer would reach 16 MiB.
        constexpr std::size_t socketBytes = 8U << 20U;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent < limit + 20 * (memory_budget::smallBytes + socketBytes));
        // The memory is free again.
        fixture.backends.clear();
    }

    /// Guards against a 503 to a request that was sent, and against waiting requests that fill the memory.
    void refusesOnlyWaitingRequestsForTheirMemory()
    {
        const auto serveLater = [](const backend_request &request) {
            backend_reply reply = serve(request);
            reply.delay = milliseconds(100);
            return reply;
        };
        proxy_fixture fixture({serveLater});
        const auto budget = std::make_shared<memory_budget>(8U << 20U);
        fixture.proxyUnderTest.setMemory(budget);
        const instant now = std::chrono::steady_clock::now();
        std::vector<std::shared_ptr<fake_caller>> callers;
        for (int i = 0; i < 4; ++i) { // Two slots, so two of them wait.
            const auto bodyMemory = std::make_shared<memory_reservation>(budget, memory_kind::requestBody, now);
            CPPUNIT_ASSERT(bodyMemory->growTo(1U << 20U, now));
            callers.push_back(fixture.send("/write/1", "r" + std::to_string(i), 2000, {}, bodyMemory));
        }
        fixture.run(milliseconds(20));
        memory_reservation answer(budget, memory_kind::answer, now);
        CPPUNIT_ASSERT(answer.growTo(4U << 20U, now));
        CPPUNIT_ASSERT(callers[3]->received && callers[3]->received->status == 503);
        CPPUNIT_ASSERT(callers[3]->received->fields.has("Retry-After") && callers[3]->received->closesConnection);
        CPPUNIT_ASSERT(!callers[2]->received);
        // Nothing is refused in vain.
        CPPUNIT_ASSERT(!answer.growTo(7U << 20U, now));
        CPPUNIT_ASSERT(!callers[2]->received);
        CPPUNIT_ASSERT(answer.growTo(5U << 20U, now));
        CPPUNIT_ASSERT(callers[2]->received.has_value());
        CPPUNIT_ASSERT_EQUAL(503, callers[2]->received->status);
        for (const int sent : {0, 1}) {
            CPPUNIT_ASSERT_EQUAL(200, fixture.await(callers[static_cast<std::size_t>(sent)]));
        }
        fixture.run(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.arrivals());
    }

    void deliversAnAnswerThatIsFollowedByBytesWithoutEnd()
    {
        proxy_fixture fixture({endless(completeAnswer("r1"), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")});
        const auto caller = fixture.send("/write/1", "r1");
        CPPUNIT_ASSERT_EQUAL(200, fixture.await(caller));
        CPPUNIT_ASSERT_EQUAL(std::string("done"), caller->received->body.text());
        fixture.run(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(1, caller->answers);
    }

    void logsWhyATargetIsSuspected()
    {
        constexpr int usualRequests = 20;
        int calls = 0;
        proxy_fixture b({[&](const backend_request &request) { return ++calls > usualRequests ? hang(request) : serve(request); }});
        for (int i = 0; i < usualRequests; ++i) {
            CPPUNIT_ASSERT_EQUAL(200, b.await(b.send("/write/", "usual")));
        }
        const test_support::log_recorder log;
        CPPUNIT_ASSERT_EQUAL(504, b.await(b.send("/write/", "id1")));
        CPPUNIT_ASSERT(log.contains("event=target_suspected id=id1 target=t0 running_ms="));
    }

    void answersAtTheRoutesTimeout()
    {
        proxy_fixture b({hang});
        const auto sentAt = std::chrono::steady_clock::now();
        const auto caller = b.send("/write/", "id1", 60000);
        CPPUNIT_ASSERT_EQUAL(504, b.await(caller));
        const auto taken = std::chrono::steady_clock::now() - sentAt;
        CPPUNIT_ASSERT(taken >= milliseconds(1000));
        CPPUNIT_ASSERT(taken < milliseconds(1500)); // half a second is the platform's bound
    }

    void cancelsAnIdempotentRequestWhenItsCallerLeaves()
    {
        proxy_fixture b({hang});
        const auto caller = b.send("/read/", "id1");
        b.run(milliseconds(60));
        caller->onLeave();
        b.run(milliseconds(60));
        CPPUNIT_ASSERT_EQUAL(1, b.backends[0]->failedReads);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), b.proxyUnderTest.inFlight());
        CPPUNIT_ASSERT_EQUAL(0, caller->answers);
    }

    void completesANonIdempotentRequestWhenItsCallerLeaves()
    {
        proxy_fixture b({hang});
        const auto caller = b.send("/write/", "id1");
        b.run(milliseconds(60));
        caller->onLeave();
        b.run(milliseconds(60));
        CPPUNIT_ASSERT_EQUAL(0, b.backends[0]->failedReads);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), b.proxyUnderTest.inFlight());
    }

    void refusesWithoutConfigurationAndWithoutTargets()
    {
        proxy_fixture b({});
        CPPUNIT_ASSERT_EQUAL(503, b.await(b.send("/write/", "id1")));
        b.proxyUnderTest.setConfig(nullptr);
        const auto caller = b.send("/nowhere/", "id2");
        CPPUNIT_ASSERT_EQUAL(503, b.await(caller));
        CPPUNIT_ASSERT(caller->received->fields.has("Retry-After"));
        b.proxyUnderTest.setConfig(b.config);
        CPPUNIT_ASSERT_EQUAL(404, b.await(b.send("/nowhere/", "id3")));
    }

    /// Guards against work for callers whose key was never given or has been withdrawn.
    void refusesRequestsWithoutAKnownKey()
    {
        proxy_fixture b({serve});
        b.requireAccounts();
        CPPUNIT_ASSERT_EQUAL(401, b.await(b.send("/write/", "id1")));
        CPPUNIT_ASSERT_EQUAL(401, b.await(b.send("/write/", "id2", 2000, "wrong")));
        CPPUNIT_ASSERT_EQUAL(404, b.await(b.send("/nowhere/", "id3", 2000, "wrong")));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), b.arrivals());
        CPPUNIT_ASSERT_EQUAL(200, b.await(b.send("/write/", "id4", 2000, "plain-key")));
        auto withdrawn = std::make_shared<active_config>(*b.config);
        withdrawn->config.accounts = account_directory::make({}).value();
        withdrawn->router = host_router(withdrawn->config.routes);
        b.proxyUnderTest.setConfig(withdrawn);
        CPPUNIT_ASSERT_EQUAL(401, b.await(b.send("/write/", "id5", 2000, "plain-key")));
        b.proxyUnderTest.setConfig(nullptr);
        CPPUNIT_ASSERT_EQUAL(503, b.await(b.send("/write/", "id6", 2000, "plain-key")));
    }

    /// Guards against keys that reach a target or a log, and against account names that a client made up.
    void tellsTheTargetTheAccountAndNeverTheKey()
    {
        proxy_fixture b({serve});
        const test_support::log_recorder log;
        CPPUNIT_ASSERT_EQUAL(200, b.await(b.send("/write/", "id0", 2000, "gold-key")));
        b.requireAccounts();
        CPPUNIT_ASSERT_EQUAL(200, b.await(b.send("/write/", "id1", 2000, "gold-key")));
        CPPUNIT_ASSERT_EQUAL(200, b.await(b.send("/read/", "id2", 2000, "gold-key")));
        CPPUNIT_ASSERT_EQUAL(200, b.await(b.send("/read/", "id3", 2000, "wrong-key")));
        CPPUNIT_ASSERT_EQUAL(401, b.await(b.send("/write/", "id4", 2000, "wrong-key")));
        const auto &seen = b.backends[0]->requests;
        const std::vector<std::string> accounts{"", "gold", "gold", ""};
        CPPUNIT_ASSERT_EQUAL(accounts.size(), seen.size());
        for (std::size_t i = 0; i < seen.size(); ++i) {
            CPPUNIT_ASSERT_EQUAL(accounts[i], std::string(seen[i]["X-Account"]));
            CPPUNIT_ASSERT(seen[i].count("X-Account") <= 1);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), seen[i].count("X-Key"));
        }
        CPPUNIT_ASSERT(!log.contains("-key"));
    }

    /// An account that is more urgent than the route gets the next free slot before requests that arrived earlier.
    void putsTheAccountsPriorityBeforeTheRoutes()
    {
        proxy_fixture b({[](const backend_request &request) -> backend_reply {
            return {completeAnswer(idOf(request)), false, false, milliseconds(100)};
        }});
        b.requireAccounts();
        for (const std::string id : {"busy1", "busy2", "plain1", "plain2"}) {
            b.send("/write/", id, 2000, "plain-key");
        }
        b.send("/write/", "gold1", 2000, "gold-key");
        b.run(milliseconds(350));
        const auto &seen = b.backends[0]->requests;
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), seen.size());
        CPPUNIT_ASSERT_EQUAL(std::string("gold1"), idOf(seen[2]));
    }

    /// A burst fills all slots with requests that take longer than the callers can wait.
    void refusesAtOnceWhatCannotBeServedInTime()
    {
        proxy_fixture b({hang});
        std::vector<std::shared_ptr<fake_caller>> callers;
        for (int i = 0; i < 30; ++i) {
            callers.push_back(b.send("/write/", "id" + std::to_string(i)));
        }
        int refused = 0;
        for (const auto &caller : callers) {
            refused += caller->received && caller->received->status == 503 ? 1 : 0;
        }
        // Two slots and one second for each: at the assumed 0.4 s no more than about six can be served.
        CPPUNIT_ASSERT(refused >= 20);
        CPPUNIT_ASSERT(b.proxyUnderTest.inFlight() >= 2);
    }

    void usesAnotherTargetWhenOneRefusesConnections()
    {
        proxy_fixture b({serve, serve});
        b.backends[0].reset();
        for (int i = 0; i < 6; ++i) {
            CPPUNIT_ASSERT_EQUAL(200, b.await(b.send("/write/", "id" + std::to_string(i))));
        }
    }

    /// Two targets that have served enough requests for their usual times to be known, within a few milliseconds each. Of the requests
    /// whose ids start with "late", the first attempt gets the first reply and all others the second one.
    class late_fixture : public proxy_fixture
    {
    public:
        explicit late_fixture(const scripted_backend::script &first, const scripted_backend::script &second = serve, int attempts = 2,
                              const std::shared_ptr<int> &arrivals = std::make_shared<int>(0))
            : proxy_fixture({scriptOf(first, second, arrivals), scriptOf(first, second, arrivals)})
            , lateArrivals(*arrivals)
        {
            proxyUnderTest.setMaxEarlyShare(0.08);
            for (forward_route &route : config->config.routes) {
                route.attempts = attempts;
            }
            config->router = host_router(config->config.routes);
            for (int i = 0; i < 90; ++i) {
                CPPUNIT_ASSERT_EQUAL(200, await(send(i % 2 == 0 ? "/read/" : "/write/", "usual" + std::to_string(i))));
            }
        }

        const int &lateArrivals; ///< Owned by the scripts.

        /// All attempts have ended, at their targets and in the table of targets.
        void assertNothingRuns()
        {
            run(milliseconds(20));
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), proxyUnderTest.inFlight());
            for (const auto &[key, row] : targets.rows()) {
                CPPUNIT_ASSERT_EQUAL(0, row.ownInFlight);
            }
        }

    private:
        static scripted_backend::script scriptOf(const scripted_backend::script &first, const scripted_backend::script &second,
                                                 const std::shared_ptr<int> &arrivals)
        {
            return [first, second, arrivals](const backend_request &request) {
                const bool isLate = idOf(request).rfind("late", 0) == 0;
                return !isLate ? serve(request) : ++*arrivals == 1 ? first(request) : second(request);
            };
        }
    };

    /// Guards against idempotent requests that wait for a target that hangs until their timeout.
    void passesByATargetThatHangs()
    {
        const test_support::log_recorder log;
        late_fixture b(hang);
        CPPUNIT_ASSERT_EQUAL(200, b.await(b.send("/read/", "late"), milliseconds(900)));
        b.assertNothingRuns();
        CPPUNIT_ASSERT_EQUAL(1, b.backends[0]->failedReads + b.backends[1]->failedReads);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), b.retries.own("s", std::chrono::steady_clock::now()).retries);
        CPPUNIT_ASSERT(log.contains("event=early_attempt id=late target=t"));
        CPPUNIT_ASSERT(b.metrics.text().find("early_attempts_total{service=\"s\",result=\"won\"} 1\n") != std::string::npos);
    }

    /// Guards against a failure that is delivered although the other attempt still succeeds, against a second answer, against slots that
    /// a cancelled attempt keeps, and against more targets than allowed.
    void deliversOneAnswerOfTwoAttemptsAndAFailureOnlyAfterBoth()
    {
        const auto notFound = [](const backend_request &request) {
            return backend_reply{"HTTP/1.1 404 No\r\nX-Id: " + idOf(request) + "\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n", false, false};
        };
        const auto delayed = [](backend_reply reply) { return reply.delay = milliseconds(250), reply; };
        const auto success = [&](const backend_request &request) { return delayed(serve(request)); };
        const auto failure = [&](const backend_request &request) { return delayed(fail(request)); };
        const std::vector<std::tuple<scripted_backend::script, scripted_backend::script, int>> cases{
            {success, hang, 200},     {success, success, 200}, {success, fail, 200}, {success, notFound, 200}, {failure, fail, 500},
            {failure, notFound, 404}, {failure, success, 200}, {hang, fail, 500},    {hang, shed, 504},
        };
        for (const auto &[first, second, expected] : cases) {
            late_fixture b(first, second);
            const auto sentAt = std::chrono::steady_clock::now();
            const auto caller = b.send("/read/", "late");
            CPPUNIT_ASSERT_EQUAL(expected, b.await(caller));
            CPPUNIT_ASSERT(std::chrono::steady_clock::now() - sentAt >= milliseconds(240));
            b.run(milliseconds(100));
            b.assertNothingRuns();
            CPPUNIT_ASSERT_EQUAL(1, caller->answers);
            CPPUNIT_ASSERT_EQUAL(2, b.lateArrivals);
        }
    }

    void sendsNoSecondAttemptOfUnsafeRequestsOrBeyondTheRoutesAttempts()
    {
        for (const auto &[path, attempts] : std::vector<std::pair<std::string, int>>{{"/write/", 2}, {"/read/", 1}}) {
            late_fixture b(hang, serve, attempts);
            CPPUNIT_ASSERT_EQUAL(504, b.await(b.send(path, "late")));
            CPPUNIT_ASSERT_EQUAL(1, b.lateArrivals);
        }
        late_fixture b(hang);
        b.proxyUnderTest.setMaxEarlyShare(0.0); // As without the setting.
        CPPUNIT_ASSERT_EQUAL(504, b.await(b.send("/read/", "late")));
        CPPUNIT_ASSERT_EQUAL(1, b.lateArrivals);
    }

    void cancelsBothAttemptsWhenTheCallerLeaves()
    {
        late_fixture b(hang, hang);
        const auto caller = b.send("/read/", "late");
        b.run(milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(2, b.lateArrivals);
        caller->onLeave();
        b.assertNothingRuns();
        CPPUNIT_ASSERT(b.backends[0]->failedReads == 1 && b.backends[1]->failedReads == 1 && caller->answers == 0);
        CPPUNIT_ASSERT(b.metrics.text().find("early_attempts_total{service=\"s\",result=\"lost\"} 1\n") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_proxy_tests);

} // namespace
