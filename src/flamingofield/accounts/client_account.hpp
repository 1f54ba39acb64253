#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flamingofield {

/// Quota of an account over all nodes together.
struct account_limit
{
    double ratePerSecond = 0.0; ///< Requests per second; zero for no limit.
    double burst = 0.0; ///< Requests that may be sent at once, beyond the rate.

    bool isLimited() const
    {
        return ratePerSecond > 0.0;
    }
};

/// A client account as the operator configures it.
struct client_account
{
    std::string name;
    std::uint64_t id = 0; ///< Hash of the name, the same on all nodes; set by account_directory::make().
    std::optional<int> priority; ///< Replaces the priority of the routes; zero is the most urgent.
    account_limit limit;
};

/// An account with its keys, as it occurs in a configuration.
struct account_definition
{
    client_account account;
    std::vector<std::string> keys; ///< In plain text.
    std::vector<std::string> keyDigests; ///< Further keys, as account_directory::digestText() shows them.
};

} // namespace flamingofield
