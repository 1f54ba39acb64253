#pragma once

#include "gate/backend_client.hpp"
#include "gate/connection_server.hpp"
#include "gate/fleet_snapshot.hpp"
#include "gate/problem.hpp"
#include "idempotency/outcome_store.hpp"
#include "outlier/inflight_table.hpp"
#include "outlier/observation.hpp"
#include "report/counters.hpp"
#include "report/service_metrics.hpp"

#include <atomic>

namespace flamingofield {

/// Parts of a node that the request handler shares with the control plane.
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

/// Routes each request and runs, forwards or refuses it; thread-safe.
class request_handler
{
public:
    explicit request_handler(request_context context);

    http_answer handle(const http_request &request);

    /// Number of requests being served.
    int inFlight() const
    {
        return m_inFlight;
    }

private:
    struct routed_request;
    struct attempt_result;

    http_answer route(const http_request &request, const fleet_snapshot &snapshot);
    http_answer refuse(const http_request &request, problem p);
    http_answer serve(const routed_request &routed);
    http_answer serveAtMostOnce(const routed_request &routed);
    http_answer runAtMostOnce(const routed_request &routed, const idempotency_key &key);
    http_answer serveIdempotent(const routed_request &routed);
    http_answer forward(const routed_request &routed, const node_view &node, int hopsLeft);
    http_answer forwardToIncarnation(const routed_request &routed, std::uint64_t incarnation);
    http_answer forwardToMember(const routed_request &routed);
    slot_result acquire(const routed_request &routed, std::uint64_t excludedTargets);
    attempt_result attempt(const routed_request &routed, std::size_t target, instant deadline, bool useNewConnection);
    attempt_result attemptOnNewConnection(const routed_request &routed, std::size_t target, instant deadline);
    void observe(const routed_request &routed, std::size_t target, const attempt_result &result, bool wasReportedSlow, duration latency);

    request_context m_context;
    std::atomic<int> m_inFlight{0};
    std::atomic<std::uint64_t> m_sequence{0};
};

} // namespace flamingofield
