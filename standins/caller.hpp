#pragma once

#include "gate/backend_client.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace standins {

/// An entry VM in an address answer.
struct entry_address
{
    flamingofield::endpoint address;
    std::string keyPrefix;
};

/// Outcome of a request, as the caller sees it.
struct caller_result
{
    int status = 0; ///< 0 without a complete answer.
    std::string outcome; ///< "done", "not run", "unknown", or "no answer" without a complete answer of the entry VM.
    std::string body;
    std::string detail;
    flamingofield::duration latency{};
    flamingofield::endpoint entry;
    std::uint64_t version = 0;
};

/// One request of a caller.
struct caller_request
{
    std::string method = "GET";
    std::string target;
    std::string body;
    std::string key; ///< Idempotency-Key, empty for none.
    std::string token; ///< Echoed by the backend server stand-in.
    std::string account;
    flamingofield::milliseconds timeout{2000};
    std::optional<flamingofield::endpoint> entry; ///< Sends the request there instead of to the first address.
};

/// Stand-in for a caller: queries the fleet for addresses, caches them for the time that the answer states, and sends requests there.
class caller
{
public:
    explicit caller(std::vector<flamingofield::endpoint> entries);

    /// Addresses for a service, from the cache while it is valid.
    /// @return empty if no node answered
    std::vector<entry_address> addresses(const std::string &service);

    caller_result send(const std::string &service, const caller_request &request);

    /// Creates an idempotency key that belongs to an entry VM.
    std::string newKey(const entry_address &entry);

private:
    struct cached_addresses
    {
        std::vector<entry_address> nodes;
        flamingofield::instant expiresAt;
    };

    std::vector<entry_address> fetchAddresses(const std::string &service);

    std::vector<flamingofield::endpoint> m_entries;
    flamingofield::backend_client m_client;
    std::mutex m_mutex;
    std::map<std::string, cached_addresses> m_cachedAddresses;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_callerId;
};

} // namespace standins
