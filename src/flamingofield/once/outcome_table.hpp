#pragma once

#include "core/time.hpp"
#include "once/idempotency_key.hpp"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>

namespace flamingofield {

/// Answer of a backend server, kept so that a repeat gets the same one.
struct recorded_answer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// The caller of begin() must now run the work and report how it ended.
struct run_granted
{
};
/// Another request with this key is running.
struct run_in_progress
{
};
/// The work ran; here is its answer.
struct run_recorded
{
    std::shared_ptr<const recorded_answer> answer;
};
/// The work was not run and this key never will be.
struct run_closed
{
    std::string reason;
};
/// Whether the work ran cannot be told.
struct run_unknown
{
    std::string reason;
};

using begin_result = std::variant<run_granted, run_in_progress, run_recorded, run_closed, run_unknown>;

/// Bounds of an outcome table.
struct outcome_limits
{
    std::size_t entries = 30000;
    std::size_t bytes = 6U << 20U;
    std::uint32_t retentionSeconds = 600;
    std::uint32_t epochSlackSeconds = 10; ///< How far a key's epoch may be ahead, since peers estimate it.
};

/// Outcomes of the keys of one incarnation. Not thread-safe.
///
/// A key runs only while its epoch is inside the retention window, and an entry is dropped only after its epoch has
/// left it, so a forgotten key can never run again. When the table is full, all unseen keys up to the present epoch
/// are closed by one watermark, which keeps "not run" true without an entry for each refusal.
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
    begin_result begin(const idempotency_key &key, std::uint32_t nowEpoch);

    /// Ends a granted run with the answer of the backend server.
    void finish(const idempotency_key &key, recorded_answer answer);

    /// Ends a granted run that sent no byte to a backend server.
    void close(const idempotency_key &key, std::string reason);

    /// Ends a granted run whose fate is not known.
    void lose(const idempotency_key &key, std::string reason);

    /// State of a key without claiming it; run_granted means that it has never been seen.
    begin_result find(const idempotency_key &key) const;

    /// Refuses all unseen keys from now on, for a planned stop.
    void closeAll();

    /// Drops the entries whose epoch has left the retention window.
    void expire(std::uint32_t nowEpoch);

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
    std::uint64_t m_closedThrough = 0; ///< Unseen keys of epochs below this are closed.
    std::size_t m_bytes = 0;
    std::unordered_map<std::string, entry> m_entries;
    std::multimap<std::uint32_t, std::string> m_byEpoch;
};

} // namespace flamingofield
