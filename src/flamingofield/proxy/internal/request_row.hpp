#pragma once

#include "proxy/request_proxy.hpp"

#include <optional>

namespace flamingofield {

/// Minimum of Retry-After before jitter and before the limit by the deadline; slots rarely become free sooner.
constexpr milliseconds minRetryAfter{150};

/// One exchange of a request with a target, from its start until its end is handled.
struct request_proxy::running_attempt
{
    std::shared_ptr<exchange> current;
    int number = 0; ///< Counts the exchanges of the request from 1; identifies the attempt.
    std::uint64_t targetKey = 0;
    std::string targetId;
    std::size_t sentBytes = 0; ///< Size of the request.
    instant sentAt{};
    bool isOverdue = false;
    bool isLate = false; ///< Counted as late, see early_retry::isLate().
    bool isEarly = false; ///< Sent while another attempt of the request was running.
    bool isSuperseded = false; ///< Cancelled because another attempt of the request succeeded.
};

/// Answer of a target that is no success, kept while another attempt is running.
struct request_proxy::held_answer
{
    http_answer_message answer;
    bool isFailure = false; ///< Of the target; the request may be retried instead of being answered with it.
};

/// State of one caller's request from its arrival to its answer.
struct request_proxy::request_row
{
    std::uint64_t serial = 0;
    std::shared_ptr<pending_request> pending;
    std::shared_ptr<const active_config> config;
    const forward_route *route = nullptr;
    const client_account *account = nullptr; ///< Of the configuration; null if the request has no known key.
    int priority = 0; ///< Of the account or else of the route; zero is the most urgent.
    std::string service;
    std::string id;
    instant arrivedAt{};
    instant deadline{};
    instant objectiveAt{};
    int sentAttempts = 0; ///< Number of attempts that were sent or may have been; once it is above 0, retries use the retry budget.
    int possibleRuns = 0; ///< Number of attempts after which the target may have run the request.
    int attempts = 0; ///< Number of exchanges started with targets.
    std::vector<std::string> triedTargets; ///< Ids of targets that are not chosen again; the last one received the latest attempt.
    std::vector<running_attempt> running; ///< At most two; empty while the request is queued.
    std::optional<held_answer> held; ///< Of an attempt that ended before the one that is still running.
    bool isQueued = false;
    bool hasClientDisconnected = false;
    bool isAnswered = false;
    bool holdsQuota = false; ///< A token of the account's quota was taken for the request.

    /// Zero for requests without an account.
    std::uint64_t accountId() const
    {
        return account == nullptr ? 0 : account->id;
    }

    bool isIdempotent() const
    {
        return route->retryPolicy == retry_policy::idempotent;
    }
};

/// Decimal number with two decimal places.
std::string formatNumber(double value);

/// Duration in whole milliseconds.
std::string millisecondsText(duration d);

/// Parses a decimal integer at the start of the text.
/// @return the number, or -1 if there is none
long long parseNumber(std::string_view text);

} // namespace flamingofield
