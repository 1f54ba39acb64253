#pragma once

#include "once/outcome_table.hpp"

#include <condition_variable>
#include <mutex>

namespace flamingofield {

/// Thread-safe outcome table in which a repeat waits for the run in progress.
class outcome_store
{
public:
    outcome_store(std::uint64_t incarnation, outcome_limits limits, instant started);

    /// Seconds since the process started, the epoch of keys issued now.
    std::uint32_t epochAt(instant now) const;

    /// Claims a key, or waits until the deadline for the run that holds it.
    begin_result begin(const idempotency_key &key, instant deadline);

    /// See outcome_table; these wake the repeats that wait.
    void finish(const idempotency_key &key, recorded_answer answer);
    void close(const idempotency_key &key, std::string reason);
    void lose(const idempotency_key &key, std::string reason);
    void closeAll();

    /// Drops outcomes that are no longer kept.
    void expire(instant now);

    std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_settled;
    outcome_table m_table;
    instant m_started;
};

} // namespace flamingofield
