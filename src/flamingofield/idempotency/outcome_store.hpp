#pragma once

#include "idempotency/outcome_table.hpp"

#include <condition_variable>
#include <mutex>

namespace flamingofield {

/// Thread-safe outcome table; a repeated request waits for the execution in progress.
class outcome_store
{
public:
    outcome_store(std::uint64_t incarnation, outcome_limits limits, instant started);

    /// Epoch of keys issued at this time: seconds since the process started.
    std::uint32_t epochAt(instant now) const;

    /// Claims a key. If a request with this key is being executed, waits until it ends or the deadline passes.
    claim_result claim(const idempotency_key &key, instant deadline);

    /// See outcome_table; the first three wake the waiting retries.
    void recordAnswer(const idempotency_key &key, recorded_answer answer);
    void markNotExecuted(const idempotency_key &key, std::string reason);
    void markUnknown(const idempotency_key &key, std::string reason);
    void refuseNewKeys();

    /// Removes outcomes past their retention time.
    void expire(instant now);

    std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_settled;
    outcome_table m_table;
    instant m_started;
};

} // namespace flamingofield
