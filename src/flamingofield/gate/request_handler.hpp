#pragma once

#include "gate/backend_client.hpp"
#include "gate/connection_server.hpp"
#include "gate/fleet_snapshot.hpp"
#include "gate/problem.hpp"
#include "judge/inflight_table.hpp"
#include "judge/observation.hpp"
#include "once/outcome_store.hpp"
#include "report/counters.hpp"
#include "report/service_metrics.hpp"

#include <atomic>

namespace flamingofield {

/// What the request path shares with the rest of a node.
struct request_context
{
    std::uint64_t incarnation = 0;
    snapshot_holder &snapshots;
    outcome_store &outcomes;
    backend_client &targets;
    backend_client &peers;
    observation_queue &observations;
    inflight_table &inflight;
    service_metrics &metrics;
    counter_table &counters;
};

/// Serves one caller's request from its first byte to its whole answer; thread-safe.
class request_handler
{
public:
    explicit request_handler(request_context context);

    http_answer handle(const http_request &request);

    /// Requests being served, for a planned stop.
    int inFlight() const
    {
        return m_inFlight;
    }

private:
    struct job;
    struct attempt_result;

    http_answer route(const http_request &request, const fleet_snapshot &snapshot);
    http_answer refuse(const http_request &request, problem p);
    http_answer serve(const job &work);
    http_answer serveOnce(const job &work);
    http_answer runOnce(const job &work, const idempotency_key &key);
    http_answer serveIdempotent(const job &work);
    http_answer forward(const job &work, const member_view &node, int hopsLeft);
    http_answer forwardToIncarnation(const job &work, std::uint64_t incarnation);
    http_answer forwardToMember(const job &work);
    slot_result acquire(const job &work, std::uint64_t excluded);
    attempt_result attempt(const job &work, std::size_t target, instant deadline, bool fresh);
    attempt_result attemptOnFreshConnection(const job &work, std::size_t target, instant deadline);
    void observe(const job &work, std::size_t target, const attempt_result &result, bool alreadyLate, duration latency);

    request_context m_context;
    std::atomic<int> m_inFlight{0};
    std::atomic<std::uint64_t> m_sequence{0};
};

} // namespace flamingofield
