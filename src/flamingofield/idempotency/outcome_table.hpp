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
};

/// The key is claimed: the caller of begin() must now execute the request and report the outcome.
struct run_granted
{
};
/// Another request with this key is being executed.
struct run_in_progress
{
};
/// The request was executed; this is its answer.
struct run_recorded
{
    std::shared_ptr<const recorded_answer> answer;
};
/// The request was not executed, and no request with this key ever will be.
struct run_closed
{
    std::string reason;
};
/// It is not known whether the request was executed.
struct run_unknown
{
    std::string reason;
};

using begin_result = std::variant<run_granted, run_in_progress, run_recorded, run_closed, run_unknown>;

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
/// closes all unseen keys up to the current epoch plus slack, so that "not run" stays true without an entry for each key.
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
    begin_result begin(const idempotency_key &key, std::uint32_t currentEpoch);

    /// Ends a granted execution with the answer of the backend server.
    void finish(const idempotency_key &key, recorded_answer answer);

    /// Ends a granted execution that sent no byte to a backend server.
    void close(const idempotency_key &key, std::string reason);

    /// Ends a granted execution whose outcome is unknown.
    void lose(const idempotency_key &key, std::string reason);

    /// Returns the state of a key without claiming it; run_granted if the table has no entry for it.
    begin_result find(const idempotency_key &key) const;

    /// Closes all unseen keys from now on, for a planned stop.
    void closeAll();

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
        begin_result state;
        std::size_t bytes = 0;
    };

    void settle(const idempotency_key &key, begin_result state, std::size_t bytes);

    std::uint64_t m_incarnation;
    outcome_limits m_limits;
    std::uint64_t m_closedBelowEpoch = 0; ///< Unseen keys with a lower epoch are closed.
    std::size_t m_bytes = 0;
    std::unordered_map<std::string, entry> m_entries;
    std::multimap<std::uint32_t, std::string> m_byEpoch;
};

} // namespace flamingofield
