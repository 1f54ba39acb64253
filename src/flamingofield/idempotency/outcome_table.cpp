#include "idempotency/outcome_table.hpp"

#include <limits>

namespace flamingofield {

namespace {

constexpr std::size_t entryOverheadBytes = 250; // Map nodes, key text and control block.

} // namespace

claim_result outcome_table::claim(const idempotency_key &key, std::uint32_t currentEpoch)
{
    if (key.incarnation != m_incarnation) {
        return execution_unknown{"the key names another incarnation"};
    }
    const std::string text = toString(key);
    const auto found = m_entries.find(text);
    if (found != m_entries.end()) {
        return found->second.state;
    }
    if (static_cast<std::uint64_t>(key.epoch) + m_limits.retentionSeconds < currentEpoch) {
        return execution_unknown{"the key is older than outcomes are kept"};
    }
    if (key.epoch > currentEpoch + m_limits.epochSlackSeconds) {
        return execution_refused{"the key's epoch lies in the future"};
    }
    if (m_entries.size() >= m_limits.entries || m_bytes >= m_limits.bytes) {
        m_refusedBelowEpoch = std::max<std::uint64_t>(m_refusedBelowEpoch, std::uint64_t{currentEpoch} + m_limits.epochSlackSeconds + 1);
    }
    if (key.epoch < m_refusedBelowEpoch) {
        return execution_refused{"the node takes no new work of this epoch; ask for addresses again"};
    }
    m_entries.emplace(text, entry{execution_in_progress{}, text.size() + entryOverheadBytes});
    m_byEpoch.emplace(key.epoch, text);
    m_bytes += text.size() + entryOverheadBytes;
    return execution_granted{};
}

claim_result outcome_table::find(const idempotency_key &key) const
{
    const auto found = m_entries.find(toString(key));
    return found == m_entries.end() ? claim_result(execution_granted{}) : found->second.state;
}

void outcome_table::settle(const idempotency_key &key, claim_result state, std::size_t bytes)
{
    const auto found = m_entries.find(toString(key));
    if (found == m_entries.end() || !std::holds_alternative<execution_in_progress>(found->second.state)) {
        return;
    }
    found->second.state = std::move(state);
    found->second.bytes += bytes;
    m_bytes += bytes;
}

void outcome_table::recordAnswer(const idempotency_key &key, recorded_answer answer)
{
    const std::size_t bytes = answer.body.size() + answer.contentType.size();
    settle(key, execution_recorded{std::make_shared<const recorded_answer>(std::move(answer))}, bytes);
}

void outcome_table::markNotExecuted(const idempotency_key &key, std::string reason)
{
    const std::size_t bytes = reason.size();
    settle(key, execution_refused{std::move(reason)}, bytes);
}

void outcome_table::markUnknown(const idempotency_key &key, std::string reason)
{
    const std::size_t bytes = reason.size();
    settle(key, execution_unknown{std::move(reason)}, bytes);
}

void outcome_table::refuseNewKeys()
{
    m_refusedBelowEpoch = std::numeric_limits<std::uint64_t>::max();
}

void outcome_table::expire(std::uint32_t currentEpoch)
{
    auto it = m_byEpoch.begin();
    while (it != m_byEpoch.end() && std::uint64_t{it->first} + m_limits.retentionSeconds < currentEpoch) {
        const auto found = m_entries.find(it->second);
        if (std::holds_alternative<execution_in_progress>(found->second.state)) {
            ++it;
            continue;
        }
        m_bytes -= found->second.bytes;
        m_entries.erase(found);
        it = m_byEpoch.erase(it);
    }
}

} // namespace flamingofield
