#pragma once

#include "gate/backend_client.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace standins {

/// An entry VM as named by an address answer.
struct entry_address
{
    flamingofield::endpoint address;
    std::string keyPrefix;
};

/// What a caller learned of its request.
struct call_result
{
    int status = 0; ///< 0 if no whole answer came.
    std::string outcome; ///< "done", "not run", "unknown", or "no answer" where the entry VM said nothing.
    std::string body;
    std::string detail;
    flamingofield::duration latency{};
    flamingofield::endpoint entry;
    std::uint64_t version = 0;
};

/// One request of a caller.
struct call
{
    std::string method = "GET";
    std::string target;
    std::string body;
    std::string key; ///< Idempotency-Key, empty for none.
    std::string token; ///< Echoed by the backend server stand-in.
    std::string account;
    flamingofield::milliseconds timeout{2000};
    std::optional<flamingofield::endpoint> entry; ///< Instead of the first address.
};

/// Stand-in for a caller: asks the fleet for addresses, keeps the answer as long as told, and connects there.
class caller
{
public:
    explicit caller(std::vector<flamingofield::endpoint> entries);

    /// Addresses for a service, from memory while they may be kept.
    std::vector<entry_address> addresses(const std::string &service);

    call_result send(const std::string &service, const call &request);

    /// A new key for an entry VM.
    std::string newKey(const entry_address &entry);

private:
    struct kept_answer
    {
        std::vector<entry_address> nodes;
        flamingofield::instant until;
    };

    std::vector<entry_address> askForAddresses(const std::string &service);

    std::vector<flamingofield::endpoint> m_entries;
    flamingofield::backend_client m_client;
    std::mutex m_mutex;
    std::map<std::string, kept_answer> m_kept;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_identifier;
};

} // namespace standins
