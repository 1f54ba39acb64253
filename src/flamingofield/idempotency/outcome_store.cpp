#include "idempotency/outcome_store.hpp"

namespace flamingofield {

outcome_store::outcome_store(std::uint64_t incarnation, outcome_limits limits, instant started)
    : m_table(incarnation, limits)
    , m_started(started)
{
}

std::uint32_t outcome_store::epochAt(instant now) const
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<seconds>(now - m_started).count());
}

claim_result outcome_store::claim(const idempotency_key &key, instant deadline)
{
    std::unique_lock lock(m_mutex);
    claim_result result = m_table.claim(key, epochAt(std::chrono::steady_clock::now()));
    const auto isSettled = [&] {
        if (std::holds_alternative<execution_in_progress>(result)) {
            result = m_table.find(key);
        }
        return !std::holds_alternative<execution_in_progress>(result);
    };
    m_settled.wait_until(lock, deadline, isSettled);
    return result;
}

void outcome_store::recordAnswer(const idempotency_key &key, recorded_answer answer)
{
    const std::lock_guard lock(m_mutex);
    m_table.recordAnswer(key, std::move(answer));
    m_settled.notify_all();
}

void outcome_store::markNotExecuted(const idempotency_key &key, std::string reason)
{
    const std::lock_guard lock(m_mutex);
    m_table.markNotExecuted(key, std::move(reason));
    m_settled.notify_all();
}

void outcome_store::markUnknown(const idempotency_key &key, std::string reason)
{
    const std::lock_guard lock(m_mutex);
    m_table.markUnknown(key, std::move(reason));
    m_settled.notify_all();
}

void outcome_store::refuseNewKeys()
{
    const std::lock_guard lock(m_mutex);
    m_table.refuseNewKeys();
}

void outcome_store::expire(instant now)
{
    const std::lock_guard lock(m_mutex);
    m_table.expire(epochAt(now));
}

std::size_t outcome_store::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_table.size();
}

} // namespace flamingofield
