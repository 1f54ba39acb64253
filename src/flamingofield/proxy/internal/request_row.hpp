#pragma once

#include "proxy/request_proxy.hpp"

namespace flamingofield {

/// Minimum of Retry-After; slots rarely become free sooner.
constexpr milliseconds minRetryAfter{150};

/// State of one caller's request from its arrival to its answer.
struct request_proxy::request_row
{
    std::uint64_t serial = 0;
    std::shared_ptr<pending_request> pending;
    std::shared_ptr<const active_config> config;
    const forward_route *route = nullptr;
    std::string service;
    std::string id;
    instant arrivedAt{};
    instant deadline{};
    instant objectiveAt{};
    int targetsReached = 0; ///< Number of targets that the request reached, whether they ran it or not.
    int possibleRuns = 0; ///< Number of targets that may have run it.
    int attempts = 0; ///< Number of exchanges started with targets.
    std::vector<std::string> triedTargets; ///< Ids of targets that are not chosen again; the last one received the latest attempt.
    std::shared_ptr<exchange> current;
    std::uint64_t targetKey = 0;
    instant sentAt{};
    bool isOverdue = false;
    bool isWaiting = false;
    bool hasClientLeft = false;
    bool isAnswered = false;

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
