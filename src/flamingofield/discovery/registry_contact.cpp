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
    : m_expiryTime(heartbeat * 3)
    , m_minExpiryTime(heartbeat * 2 - heartbeat / 3)
    , m_reader(reader)
    , m_answers({}, reader)
{
}

void registry_contact::recordAnswer(confirmation_id own, std::uint64_t era, instant at)
{
    if (m_period && era != 0 && era < m_period->era) {
        return;
    }
    m_answers.record(own, at);
    add({at, at, std::nullopt, era, std::nullopt});
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
    if (m_period && m_period->era != 0 && other.era > m_period->era) {
        m_answers = confirmation({}, m_reader); // What is known of the registry's earlier answers does not make this one old.
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
    // Peers of earlier releases tell no era.
    const std::uint64_t era = std::max(own.era, other.era);
    const bool isReturn = own.era != 0 && other.era > own.era;
    if (other.era != 0 && other.era < own.era) {
        return;
    }
    if (isReturn) {
        own = {other.start, other.end, earliest(own.end, other.outageStart), era, other.returnedAt.value_or(other.start)};
        return;
    }
    if (!mayListDeparted()) {
        own.returnedAt.reset();
    }
    const std::optional<instant> returnedAt = earliest(own.returnedAt, other.returnedAt);
    if (other.start > own.end + m_minExpiryTime) {
        own = {other.start, other.end, earliest(failedSince(), other.outageStart), era, returnedAt};
    } else if (other.end + m_minExpiryTime >= own.start) {
        own = {std::min(own.start, other.start), std::max(own.end, other.end), earliest(own.outageStart, other.outageStart), era,
               returnedAt};
    }
    // A copy may lack targets however short the outage was.
    if (own.outageStart && *own.outageStart + m_minExpiryTime >= own.start && !beginsEra(own)) {
        own.outageStart.reset();
    }
}

bool registry_contact::beginsEra(const contact_period &period) const
{
    return period.returnedAt && period.start <= *period.returnedAt + m_minExpiryTime;
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

bool registry_contact::mayLackLive() const
{
    return m_period && m_period->outageStart && m_period->end < m_period->start + renewalTime;
}

bool registry_contact::mayListDeparted() const
{
    if (!m_period || !m_period->returnedAt) {
        return false;
    }
    // Registrations may not expire while the registry does not answer, and a shorter gap than this is not noticed.
    const instant expiredAt = std::max(*m_period->returnedAt, m_period->start) + m_expiryTime + m_minExpiryTime;
    return m_period->end < expiredAt + renewalTime;
}

} // namespace flamingofield
