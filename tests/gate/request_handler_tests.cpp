#include "gate/request_handler.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingofield;

namespace {

constexpr std::uint64_t incarnation = 7;
constexpr std::size_t queueLength = 16;

/// A node that has no configuration yet.
struct unconfigured_node
{
    snapshot_holder snapshots;
    outcome_store outcomes{incarnation, outcome_limits(), std::chrono::steady_clock::now()};
    backend_client targets{backend_limits()};
    backend_client peers{backend_limits()};
    observation_queue observations{queueLength};
    inflight_table inflight;
    service_metrics metrics;
    counter_table counters;
    request_handler handler{{incarnation, snapshots, outcomes, targets, peers, observations, inflight, metrics, counters}};

    http_answer send(const idempotency_key &key)
    {
        http_request request;
        request.method = "POST";
        request.path = "/wilgoc/once/1";
        request.target = request.path;
        request.headers.emplace("Idempotency-Key", toString(key));
        return handler.handle(request);
    }
};

class request_handler_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_handler_tests);
    CPPUNIT_TEST(refusesWithoutAPromiseWorkThatMayHaveRunBefore);
    CPPUNIT_TEST_SUITE_END();

    /// Guards against a status that promises "not run" for work of which an earlier copy may have run.
    void refusesWithoutAPromiseWorkThatMayHaveRunBefore()
    {
        unconfigured_node node;
        const idempotency_key ownKey{incarnation, 0, "new"};
        const http_answer first = node.send(ownKey);
        CPPUNIT_ASSERT_EQUAL(503, first.status);
        CPPUNIT_ASSERT(promisesNotRun(first));
        CPPUNIT_ASSERT_EQUAL(503, node.send(ownKey).status); // The first answer keeps later copies from running.

        const http_answer foreign = node.send({incarnation + 1, 0, "foreign"});
        CPPUNIT_ASSERT_EQUAL(504, foreign.status);
        CPPUNIT_ASSERT(!promisesNotRun(foreign));

        const idempotency_key runKey{incarnation, 0, "run"};
        node.outcomes.claim(runKey, std::chrono::steady_clock::now());
        node.outcomes.recordAnswer(runKey, {200, "text/plain", "done"});
        const http_answer repeated = node.send(runKey);
        CPPUNIT_ASSERT_EQUAL(504, repeated.status);
        CPPUNIT_ASSERT(!promisesNotRun(repeated));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_handler_tests);

} // namespace
