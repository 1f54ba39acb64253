#pragma once

#include "relay/relay.hpp"

namespace flamingofield {

/// Least delay that is told to a refused caller; room rarely comes sooner.
constexpr milliseconds minRetryAfter{150};

/// One request of a caller from its arrival to its answer.
struct relay::request_row
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
    int targetsReached = 0; ///< Targets that the request reached, whether they ran it or not.
    int possibleRuns = 0; ///< Targets that may have run it.
    int attempts = 0; ///< Exchanges begun with targets.
    std::vector<std::string> triedTargets; ///< Targets not to be chosen again.
    std::shared_ptr<exchange> current;
    std::uint64_t targetKey = 0;
    instant sentAt{};
    bool isOverdue = false;
    bool isWaiting = false;
    bool hasClientLeft = false;
    bool isAnswered = false;

    bool isIdempotent() const
    {
        return route->repeats == repeat_policy::idempotent;
    }
};

/// Decimal text with two places.
std::string formatNumber(double value);

/// Whole milliseconds as text.
std::string millisecondsText(duration d);

/// @return the number, or -1 if the text is none
long long parseNumber(std::string_view text);

} // namespace flamingofield
