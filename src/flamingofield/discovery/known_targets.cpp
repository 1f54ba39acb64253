#include "discovery/known_targets.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace flamingofield {

namespace {

bool hasSmallerId(const target_entry &a, const target_entry &b)
{
    return a.id < b.id;
}

/// The targets of one list that the other does not have.
std::vector<target_entry> targetsOnlyIn(const std::vector<target_entry> &list, const std::vector<target_entry> &other)
{
    std::vector<target_entry> rest;
    std::set_difference(list.begin(), list.end(), other.begin(), other.end(), std::back_inserter(rest), hasSmallerId);
    return rest;
}

/// Merges two lists without a common id.
std::vector<target_entry> merged(const std::vector<target_entry> &list, const std::vector<target_entry> &other)
{
    std::vector<target_entry> all;
    std::merge(list.begin(), list.end(), other.begin(), other.end(), std::back_inserter(all), hasSmallerId);
    return all;
}

} // namespace

known_targets::known_targets(milliseconds heartbeat, std::uint16_t reader)
    : m_contact(heartbeat, reader)
{
}

bool known_targets::applyRead(target_snapshot registered, confirmation_id own, instant now)
{
    m_contact.recordAnswer(own, now);
    if (hasRegisteredList() && registered.revision < m_registered.revision) {
        removeExpired(now);
        return false;
    }
    std::vector<target_entry> candidates = candidatesAt(now);
    setRegistered(std::move(registered), false, now);
    setMissing(candidates);
    return true;
}

void known_targets::recordFailedRead(instant now)
{
    m_contact.recordFailure(now);
}

void known_targets::applyPeerContact(const peer_contact &contact, instant now)
{
    m_contact.merge(contact.period, contact.latest, now);
    removeExpired(now);
}

bool known_targets::applyPeerDocument(target_document document, const std::optional<peer_contact> &contact, instant now)
{
    if (contact) {
        m_contact.merge(contact->period, contact->latest, now);
    }
    std::vector<target_entry> candidates = candidatesAt(now);
    if (document.missing && isAwaitingRenewals(now) && (!hasRegisteredList() || awaitsMissing(now))) {
        candidates = merged(candidates, targetsOnlyIn(*document.missing, candidates));
    }
    const bool isProvisional = !document.missing.has_value();
    const bool takesList = isNews(document);
    if (takesList) {
        setRegistered(std::move(document.registered), isProvisional, now);
    }
    setMissing(candidates);
    return takesList && !isProvisional;
}

void known_targets::confirm(std::uint64_t revision)
{
    m_registered.revision = std::max(m_registered.revision, revision);
}

bool known_targets::awaitsMissing(instant now) const
{
    return isAwaitingRenewals(now) && hasList() && *m_firstListAt >= m_contact.period()->start;
}

void known_targets::removeExpired(instant now)
{
    if (!m_missing.empty() && !isAwaitingRenewals(now)) {
        setMissing({});
    }
}

bool known_targets::takeChange()
{
    return std::exchange(m_isChanged, false);
}

target_snapshot known_targets::inUse() const
{
    return {m_registered.revision, merged(m_registered.targets, m_missing)};
}

target_document known_targets::document() const
{
    return {m_registered, m_missing};
}

bool known_targets::isNews(const target_document &document) const
{
    const bool isNewer = document.registered.revision > m_registered.revision;
    return !hasList() || (m_isProvisional ? document.missing || isNewer : document.missing && isNewer);
}

std::vector<target_entry> known_targets::candidatesAt(instant now) const
{
    return isAwaitingRenewals(now) ? inUse().targets : std::vector<target_entry>();
}

void known_targets::setRegistered(target_snapshot registered, bool isProvisional, instant now)
{
    m_firstListAt = m_firstListAt.value_or(now);
    m_registered = std::move(registered);
    m_registeredDigest = digestOf(m_registered);
    m_isProvisional = isProvisional;
}

void known_targets::setMissing(const std::vector<target_entry> &candidates)
{
    m_missing = targetsOnlyIn(candidates, m_registered.targets);
    if (!m_missing.empty()) {
        std::set<std::string> listed;
        for (const target_entry &target : m_registered.targets) {
            listed.insert(toString(target.address));
        }
        // A draining target has left intentionally, and a reused address shows that its former target has ended.
        const auto hasLeft = [&](const target_entry &target) { return target.isDraining || listed.count(toString(target.address)) != 0; };
        m_missing.erase(std::remove_if(m_missing.begin(), m_missing.end(), hasLeft), m_missing.end());
    }
    const std::uint64_t digest
        = m_missing.empty() ? m_registeredDigest : hashOf(std::to_string(m_registeredDigest), digestOf({0, m_missing}));
    m_isChanged = m_isChanged || digest != m_inUseDigest;
    m_inUseDigest = digest;
}

} // namespace flamingofield
