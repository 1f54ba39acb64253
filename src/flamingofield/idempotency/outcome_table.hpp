#pragma once

#include "core/time.hpp"
#include "idempotency/idempotency_key.hpp"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>

namespace flamingofield {

/// Answer of a backend server, kept so that a repeated request gets the same answer.
struct recorded_answer
{
    int status = 0;
    std::string contentType;
    std::string body;
    bool statesNotRun = false; ///< The backend server stated that it did not run the request.
};

/// The key is claimed: the caller of claim() must now execute the request and report the outcome.
struct execution_granted
{
};
/// Another request with this key is being executed.
struct execution_in_progress
{
};
/// The request was executed; this is its answer.
struct execution_recorded
{
    std::shared_ptr<const recorded_answer> answer;
};
/// The request was not executed, and no request with this key ever will be.
struct execution_refused
{
    std::string reason;
};
/// It is not known whether the request was executed.
struct execution_unknown
{
    std::string reason;
};

using claim_result = std::variant<execution_granted, execution_in_progress, execution_recorded, execution_refused, execution_unknown>;

/// Limits of an outcome table.
struct outcome_limits
{
    std::size_t entries = 30000;
    std::size_t bytes = 6U << 20U;
    std::uint32_t retentionSeconds = 600;
    std::uint32_t epochSlackSeconds = 10; ///< How far a key's epoch may lie in the future, since peers only estimate the epoch.
};

/// Outcomes of requests by idempotency key, for the keys of one incarnation. Not thread-safe.
///
/// A key is granted only while its epoch is inside the retention window, and an entry is removed only after its epoch has
/// left the window, so a key whose entry was removed can never run again. When the table is full, a single watermark
/// refuses all unseen keys up to the current epoch plus slack, so that "not run" stays true without an entry for each key.
class outcome_table
{
public:
    outcome_table(std::uint64_t incarnation, outcome_limits limits)
        : m_incarnation(incarnation)
        , m_limits(limits)
    {
    }

    /// Claims a key.
    /// @param nowEpoch seconds since this process started
    claim_result claim(const idempotency_key &key, std::uint32_t currentEpoch);

    /// Ends a granted execution with the answer of the backend server.
    void recordAnswer(const idempotency_key &key, recorded_answer answer);

    /// Ends a granted execution that sent no byte to a backend server.
    void markNotExecuted(const idempotency_key &key, std::string reason);

    /// Ends a granted execution whose outcome is unknown.
    void markUnknown(const idempotency_key &key, std::string reason);

    /// Returns the state of a key without claiming it; execution_granted if the table has no entry for it.
    claim_result find(const idempotency_key &key) const;

    /// Refuses all unseen keys from now on, for a planned stop.
    void refuseNewKeys();

    /// Removes the entries whose epoch has left the retention window; executions in progress stay.
    void expire(std::uint32_t currentEpoch);

    std::size_t size() const
    {
        return m_entries.size();
    }

    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    struct entry
    {
        claim_result state;
        std::size_t bytes = 0;
    };

    void settle(const idempotency_key &key, claim_result state, std::size_t bytes);

    std::uint64_t m_incarnation;
    outcome_limits m_limits;
    std::uint64_t m_refusedBelowEpoch = 0; ///< Unseen keys with a lower epoch are refused.
    std::size_t m_bytes = 0;
    std::unordered_map<std::string, entry> m_entries;
    std::multimap<std::uint32_t, std::string> m_byEpoch;
};

} // namespace flamingofield
