#pragma once

#include "accounts/quota_table.hpp"
#include "balance/early_retry.hpp"
#include "balance/fleet_retry_budget.hpp"
#include "balance/idle_limit.hpp"
#include "balance/outcome_window.hpp"
#include "balance/request_queue.hpp"
#include "balance/service_time_estimate.hpp"
#include "balance/target_table.hpp"
#include "balance/transfer_size_estimate.hpp"
#include "http/exchange.hpp"
#include "http/listener.hpp"
#include "proxy/proxy_metrics.hpp"
#include "route/forwarding_config.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace flamingofield {

/// Names of the header fields between callers, nodes and backend servers.
struct proxy_field_names
{
    std::string requestId;
    std::string deadlineMs; ///< Time that the sender will wait for the answer, in milliseconds.
    std::string seal; ///< On each complete answer of a backend server.
    std::string expectedTarget; ///< Id of the only backend server that may run the request.
    std::string serverLoad; ///< Numbers of running requests, queued requests and slots, separated by commas.
    std::string notExecuted; ///< On answers to requests that did not run.
    std::string serverLeaving; ///< "1" on all answers of a backend server that is about to leave.
    std::string credential; ///< Key of a client account, from clients only; never sent on.
    std::string account; ///< Name of the client account, set by the node whatever the client sent.
};

/// A configuration with its router, shared by the requests that arrived while it was active.
struct active_config
{
    forwarding_config config;
    host_router router;
};

/// This node's part of the fleet's requests, and the number of nodes that share the retry budget.
struct fleet_share
{
    double share = 1.0; ///< Share of the fleet's requests, above 0 and up to 1.
    std::size_t nodesSharingRetryBudget = 1;
};

/// Handles each request from its arrival to its answer: finds the route, admits or queues the request, chooses a target, sends the
/// request, evaluates the outcome and retries or answers.
class request_proxy
{
public:
    request_proxy(boost::asio::io_context &loop, proxy_field_names names, target_table &targets, fleet_retry_budget &retries,
                  outcome_window &outcomes, connection_pool &connections, proxy_metrics &metrics);
    ~request_proxy();
    request_proxy(const request_proxy &) = delete;
    request_proxy &operator=(const request_proxy &) = delete;

    void setConfig(std::shared_ptr<const active_config> config);
    void setShare(fleet_share share);
    void setTargetsAge(duration age);

    /// Sets the bound on the memory of answers and waiting requests; applies to later requests.
    void setMemory(std::shared_ptr<memory_budget> memory);

    /// Sets the largest share of a service's requests that is sent to a second target before the first has answered; zero for none.
    void setMaxEarlyShare(double share);

    /// Sets the quotas of client accounts; null for none. They must outlive the proxy or be reset.
    void setQuotas(quota_table *quotas);

    void handle(const std::shared_ptr<pending_request> &pending);

    /// True if the current configuration has a route for the request's host and path.
    bool hasRoute(const http_request_message &request) const;

    /// Answers the requests whose deadlines have passed and gives free slots to queued ones.
    void tick(instant now);

    /// Refuses all further requests.
    void refuseNew();

    /// Answers all requests that are still in flight or queued with an error, before the process ends.
    void failAllPending();

    /// Number of unfinished requests: queued ones and those with a running exchange, which may outlast the answer to the client.
    std::size_t inFlight() const;
    std::size_t queuedRequests() const;

    /// Traffic of the services that had requests within the last minute, for the shares between data centres.
    /// @param nodes number of nodes in the data centre that serve callers, this one included
    std::map<std::string, service_traffic> serviceTraffic(std::size_t nodes, instant now);

private:
    struct request_row;
    struct running_attempt;
    struct held_answer;
    struct service_activity
    {
        duration objective{}; ///< Of the newest request.
        instant usedAt{};
    };
    using request_map = std::unordered_map<std::uint64_t, std::unique_ptr<request_row>>;

    /// Finds the client account of the request; refuses the request if it needs a key and has none that is known.
    /// @return true if the request may go on
    bool authenticate(request_row &row, instant now);
    /// Takes a token of the account's quota; refuses the request if there is none.
    /// @return true if the request may go on
    bool takeQuota(request_row &row, instant now);
    /// Returns the token of a request that certainly did not run.
    void giveBackQuota(request_row &row, instant now);
    void admit(request_row &row, instant now);
    /// Makes room in a full queue for a request of an account that holds less of it than others.
    bool makeRoom(request_queue &queue, const request_row &row, instant now);
    bool trySend(request_row &row, instant now, bool isQueued);
    running_attempt &send(request_row &row, const target_choice &choice, instant now);
    /// Sends an idempotent request to a second target if its only running attempt has taken too long, see early_retry.
    void trySendEarly(request_row &row, instant now);
    http_request_message outboundRequest(const request_row &row, const target_entry &target, instant now) const;
    void exchangeEnded(std::uint64_t serial, int attemptNumber, exchange_result result);
    void handleLoss(request_row &row, const running_attempt &ended, const exchange_result &result, instant now);
    /// @return true if the answer was delivered as the success of the request
    bool handleAnswer(request_row &row, const running_attempt &ended, exchange_result &result, instant now);
    /// Delivers an answer that is no failure of its target; one that is no success is held while another attempt is running.
    /// @return true if the answer was delivered as the success of the request
    bool handleServed(request_row &row, const http_answer_message &answer, instant now);
    /// Records the connect time, and the bytes to and from another data centre.
    void recordTransfer(const target_row &target, std::size_t sentBytes, const exchange_result &result);
    /// Takes up what a target says about itself in an answer: its load, that it is leaving, or that it wants no requests for a time.
    void applyTargetState(const request_row &row, target_row &target, const http_answer_message &answer, instant now);
    /// Retries the request if its route, the retry budget and the deadline allow, otherwise answers it. Does neither while another
    /// attempt is running.
    /// @param mayHaveRun false only if the target certainly did not run it
    void retryOrAnswer(request_row &row, bool mayHaveRun, const http_answer_message &answer, std::string_view reason, instant now);
    bool canRetry(request_row &row, bool wasSent, instant now);
    void retry(request_row &row, instant now);
    void enqueue(request_row &row, instant now);
    /// Refuses a request that waits and has not been sent, because its memory is needed.
    void evictWaiting(std::uint64_t serial);
    void dispatchQueued(const std::string &service, instant now);
    void deliver(request_row &row, const http_answer_message &answer, std::string_view outcome, instant now);
    /// Delivers the answer of a target that may have run the request. A non-idempotent request gets an error of this node instead if the
    /// answer's status promises that it did not run.
    void deliverTargetAnswer(request_row &row, const http_answer_message &answer, std::string_view outcome, instant now);
    /// Answers that the request did not run and when to retry it.
    void refuse(request_row &row, int status, std::string_view reason, duration retryAfter, instant now, bool closesConnection = false);
    /// Answers with an error of this node, without Retry-After; the request may have run.
    void fail(request_row &row, int status, std::string_view reason, instant now);
    /// Answers with an answer that was held back while another attempt was running, or else with an error of this node.
    void deliverHeldOrFail(request_row &row, int status, std::string_view reason, instant now);
    void handleClientDisconnect(std::uint64_t serial);
    void cancelRunning(request_row &row);
    /// Cancels the attempts that are still running after another one succeeded, and counts late ones as evidence against their targets.
    void cancelSuperseded(request_row &row, instant now);
    /// Forgets the request unless an attempt is still running.
    void finish(request_row &row);
    void suspectTarget(const request_row &row, const running_attempt &attempt, instant now);
    void checkOverdue(const request_row &row, running_attempt &attempt, instant now);
    void checkDeadlines(request_row &row, instant now);
    service_capacity capacityOf(const std::string &service) const;
    duration meanServiceTimeOf(const request_row &row) const;
    target_query queryFor(const request_row &row, instant now) const;

    boost::asio::io_context &m_loop;
    proxy_field_names m_names;
    target_table &m_targets;
    fleet_retry_budget &m_retries;
    outcome_window &m_outcomes;
    connection_pool &m_connections;
    proxy_metrics &m_metrics;
    std::shared_ptr<memory_budget> m_memory;
    quota_table *m_quotas = nullptr;
    std::shared_ptr<const active_config> m_config;
    fleet_share m_share;
    duration m_targetsAge{};
    service_time_estimate m_serviceTimes; ///< By route.
    early_retry m_earlyRetry;
    transfer_size_estimate m_transferSizes; ///< By route.
    service_time_estimate m_timesByService;
    transfer_size_estimate m_sizesByService;
    std::unordered_map<std::string, service_activity> m_activity; ///< By service.
    instant m_idleRemovedAt{};
    std::unordered_map<std::string, request_queue> m_queues; ///< By service.
    std::unordered_map<std::string, idle_limit> m_idleLimits; ///< By service.
    request_map m_requests;
    std::uint64_t m_nextSerial = 1;
    std::mt19937_64 m_random;
    bool m_refusesNew = false;
};

} // namespace flamingofield
