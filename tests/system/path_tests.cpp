#include "caller.hpp"
#include "support/test_seed.hpp"
#include "test_deployment.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <thread>

using namespace standins;
using flamingofield::milliseconds;
using flamingofield::seconds;

namespace {

class path_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(path_tests);
    CPPUNIT_TEST(servesARequestFromEndToEnd);
    CPPUNIT_TEST(runsANonIdempotentRequestOnceWhenItIsRepeatedAtOtherNodes);
    CPPUNIT_TEST_SUITE_END();

    void servesARequestFromEndToEnd()
    {
        deployment_plan plan;
        plan.seed = test_support::testSeed();
        test_deployment deployment(plan);
        CPPUNIT_ASSERT(deployment.start());
        caller client(deployment.gates());
        for (int i = 0; i < 30; ++i) {
            caller_request request;
            request.target = "/wilgoc/read/" + std::to_string(i);
            request.token = "token-" + std::to_string(i);
            const caller_result got = client.send("wilgoc", request);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(got.detail + got.body, 200, got.status);
            const auto body = nlohmann::json::parse(got.body);
            CPPUNIT_ASSERT_EQUAL(request.token, body["token"].get<std::string>());
            CPPUNIT_ASSERT_EQUAL(request.target, body["path"].get<std::string>());
        }
    }

    void runsANonIdempotentRequestOnceWhenItIsRepeatedAtOtherNodes()
    {
        deployment_plan plan;
        plan.seed = test_support::testSeed();
        test_deployment deployment(plan);
        CPPUNIT_ASSERT(deployment.start());
        caller client(deployment.gates());
        const auto entries = client.addresses("wilgoc");
        CPPUNIT_ASSERT(!entries.empty());
        caller_request request;
        request.method = "POST";
        request.target = "/wilgoc/once/7";
        request.body = "{}";
        request.key = client.newKey(entries.front());
        for (const auto &gate : deployment.gates()) {
            request.entry = gate;
            const caller_result got = client.send("wilgoc", request);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(got.detail + got.body, 200, got.status);
        }
        CPPUNIT_ASSERT_EQUAL(1, deployment.runCounts()[request.key]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(path_tests);

} // namespace
