#include "discovery/registry_contact.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

/// Peers tell ages, not times, so each message makes a time later by its delay: the earliest is the most precise.
std::optional<instant> earliest(const std::optional<instant> &known, const std::optional<instant> &told)
{
    return known && told ? std::min(*known, *told) : known ? known : told;
}

} // namespace

registry_contact::registry_contact(milliseconds heartbeat, std::uint16_t reader)
    : m_minExpiryTime(heartbeat * 2 - heartbeat / 3)
    , m_answers({}, reader)
{
}

void registry_contact::recordAnswer(confirmation_id own, instant at)
{
    m_answers.record(own, at);
    add({at, at, std::nullopt});
}

void registry_contact::recordFailure(instant at)
{
    m_failedAt = m_failedAt ? std::max(*m_failedAt, at) : at;
}

void registry_contact::merge(contact_period other, confirmation_id id, instant now)
{
    if (other.end + m_minExpiryTime < now) {
        recordFailure(now);
    }
    if (!m_answers.recordTold(id, other.end)) {
        other.end = std::min(other.end, m_period->end);
    }
    add(other);
}

void registry_contact::add(const contact_period &other)
{
    if (!m_period) {
        m_period = other;
        return;
    }
    contact_period &own = *m_period;
    if (other.start > own.end + m_minExpiryTime) {
        own = {other.start, other.end, earliest(failedSince(), other.outageStart)};
    } else if (other.end + m_minExpiryTime >= own.start) {
        own = {std::min(own.start, other.start), std::max(own.end, other.end), earliest(own.outageStart, other.outageStart)};
    }
    if (own.outageStart && *own.outageStart + m_minExpiryTime >= own.start) {
        own.outageStart.reset();
    }
}

std::optional<instant> registry_contact::failedSince() const
{
    return m_failedAt && *m_failedAt > m_period->end ? std::optional<instant>(m_period->end) : std::nullopt;
}

bool registry_contact::isAwaitingRenewals(instant now) const
{
    if (!m_period || !m_period->outageStart) {
        return false;
    }
    // While the registry does not answer, nothing can be renewed.
    const bool hasAnsweredLongEnough = m_period->end >= m_period->start + renewalTime / 2;
    return now < m_period->start + renewalTime || !hasAnsweredLongEnough;
}

} // namespace flamingofield
