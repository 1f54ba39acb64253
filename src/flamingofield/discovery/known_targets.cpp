#include "discovery/known_targets.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace flamingofield {

namespace {

/// Longer than the age of a copy from which the registry may come back, which is some seconds.
constexpr milliseconds departureMemory{60000};

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

/// @param list sorted by id
/// @return null if the list has no target of the id
template<typename Row> const Row *findById(const std::vector<Row> &list, const std::string &id)
{
    const auto found
        = std::lower_bound(list.begin(), list.end(), id, [](const Row &row, const std::string &sought) { return row.id < sought; });
    return found != list.end() && found->id == id ? &*found : nullptr;
}

} // namespace

known_targets::known_targets(milliseconds heartbeat, std::uint16_t reader)
    : m_contact(heartbeat, reader)
{
}

bool known_targets::applyRead(target_snapshot registered, confirmation_id own, instant now)
{
    m_contact.recordAnswer(own, registered.era, now);
    if (hasRegisteredList() && registered.position() < m_registered.position()) {
        removeExpired(now);
        return false;
    }
    setRegistered(std::move(registered), false, candidatesAt(now), now);
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
    if (document.registered.era > 0) {
        // The peer knows them from an earlier era than that of its list.
        for (const target_departure &departure : document.departures) {
            recordDeparture(departure, document.registered.era - 1, now);
        }
    }
    std::vector<target_entry> candidates = candidatesAt(now);
    if (document.missing && isAwaitingRenewals(now) && (!hasRegisteredList() || awaitsMissing(now))) {
        std::vector<target_entry> told = targetsOnlyIn(*document.missing, candidates);
        // What this node has seen leave is no candidate, although the peer may not have seen it.
        told.erase(std::remove_if(told.begin(), told.end(), [this](const target_entry &target) { return isKnownDeparture(target); }),
                   told.end());
        candidates = merged(candidates, told);
    }
    const bool isProvisional = !document.missing.has_value();
    const bool takesList = isNews(document);
    if (takesList) {
        setRegistered(std::move(document.registered), isProvisional, candidates, now);
    } else {
        combine(candidates);
    }
    return takesList && !isProvisional;
}

void known_targets::confirm(const store_position &position)
{
    if (m_registered.position() < position) {
        m_registered.era = position.era;
        m_registered.revision = position.revision;
    }
}

bool known_targets::awaitsMissing(instant now) const
{
    return isAwaitingRenewals(now) && hasList() && *m_firstListAt >= m_contact.period()->start;
}

void known_targets::removeExpired(instant now)
{
    const bool haveMissingExpired = !m_missing.empty() && !isAwaitingRenewals(now);
    const bool haveDepartedExpired = !m_listedDepartures.empty() && !mayListDeparted();
    if (haveMissingExpired || haveDepartedExpired) {
        combine(haveMissingExpired ? std::vector<target_entry>() : inUse().targets);
    }
}

bool known_targets::takeChange()
{
    return std::exchange(m_isChanged, false);
}

target_snapshot known_targets::inUse() const
{
    if (m_listedDepartures.empty()) {
        return {m_registered.revision, merged(m_registered.targets, m_missing), m_registered.era};
    }
    std::vector<target_entry> used;
    std::copy_if(m_registered.targets.begin(), m_registered.targets.end(), std::back_inserter(used),
                 [this](const target_entry &target) { return findById(m_listedDepartures, target.id) == nullptr; });
    return {m_registered.revision, merged(used, m_missing), m_registered.era};
}

target_document known_targets::document() const
{
    return {m_registered, m_missing, m_listedDepartures};
}

bool known_targets::isNews(const target_document &document) const
{
    const bool isNewer = m_registered.position() < document.registered.position();
    return !hasList() || (m_isProvisional ? document.missing || isNewer : document.missing && isNewer);
}

std::vector<target_entry> known_targets::candidatesAt(instant now) const
{
    return isAwaitingRenewals(now) ? inUse().targets : std::vector<target_entry>();
}

void known_targets::setRegistered(target_snapshot registered, bool isProvisional, const std::vector<target_entry> &candidates, instant now)
{
    m_firstListAt = m_firstListAt.value_or(now);
    const target_snapshot before = std::exchange(m_registered, std::move(registered));
    const std::uint64_t digestBefore = std::exchange(m_registeredDigest, digestOf(m_registered));
    m_isProvisional = isProvisional;
    if (m_registered.era != before.era) {
        m_registeredInEra.clear();
    } else if (mayListDeparted()) {
        for (const target_entry &target : targetsOnlyIn(m_registered.targets, before.targets)) {
            m_registeredInEra.insert(target.id);
        }
    }
    combine(candidates);
    if (m_registeredDigest != digestBefore || m_registered.era != before.era) {
        recordDepartures(before.targets, now);
    }
}

void known_targets::combine(const std::vector<target_entry> &candidates)
{
    m_listedDepartures.clear();
    if (mayListDeparted()) {
        for (const target_entry &target : m_registered.targets) {
            const target_entry *known = findById(candidates, target.id);
            const bool isReplaced = known != nullptr && known->startedAtMs > target.startedAtMs;
            if (isReplaced || (!target.isDraining && hasDeparted(target))) {
                m_listedDepartures.push_back({target.id, target.startedAtMs});
            }
        }
    }
    std::vector<target_entry> missing;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(missing),
                 [this](const target_entry &target) { return !usesListed(target.id); });
    if (!missing.empty()) {
        std::set<std::string> listed;
        for (const target_entry &target : m_registered.targets) {
            if (usesListed(target.id)) {
                listed.insert(toString(target.address));
            }
        }
        // A draining target has left intentionally, and a reused address shows that its former target has ended.
        const auto hasLeft = [&](const target_entry &target) {
            return target.isDraining || hasDeparted(target) || listed.count(toString(target.address)) != 0;
        };
        missing.erase(std::remove_if(missing.begin(), missing.end(), hasLeft), missing.end());
    }
    m_missing = std::move(missing);
    std::uint64_t digest = m_registeredDigest;
    if (!m_missing.empty()) {
        digest = hashOf(std::to_string(digest), digestOf({0, m_missing}));
    }
    for (const target_departure &departure : m_listedDepartures) {
        digest = hashOf(departure.id, digest);
    }
    m_isChanged = m_isChanged || digest != m_inUseDigest;
    m_inUseDigest = digest;
}

bool known_targets::usesListed(const std::string &id) const
{
    return findById(m_registered.targets, id) != nullptr && findById(m_listedDepartures, id) == nullptr;
}

const target_entry *known_targets::findUsed(const std::string &id) const
{
    return usesListed(id) ? findById(m_registered.targets, id) : findById(m_missing, id);
}

bool known_targets::hasDeparted(const target_entry &target) const
{
    return isKnownDeparture(target) && m_departures.at(target.id).era < m_registered.era && m_registeredInEra.count(target.id) == 0;
}

bool known_targets::isKnownDeparture(const target_entry &target) const
{
    const auto found = m_departures.find(target.id);
    return found != m_departures.end() && target.startedAtMs <= found->second.startedAtMs;
}

void known_targets::recordDeparture(const target_departure &departure, std::uint64_t era, instant now)
{
    known_departure &known = m_departures[departure.id];
    known.startedAtMs = std::max(known.startedAtMs, departure.startedAtMs);
    known.era = std::max(known.era, era);
    known.at = now;
}

void known_targets::recordDepartures(const std::vector<target_entry> &before, instant now)
{
    for (const target_entry &target : before) {
        const target_entry *used = findUsed(target.id);
        const bool isListedDeparture = findById(m_listedDepartures, target.id) != nullptr;
        const bool hasLeft = used == nullptr ? !m_contact.mayLackLive() : used->startedAtMs > target.startedAtMs;
        if (hasLeft && !isListedDeparture) {
            recordDeparture({target.id, target.startedAtMs}, m_registered.era, now);
        }
    }
    for (const target_entry &target : m_registered.targets) {
        if (target.isDraining) {
            recordDeparture({target.id, target.startedAtMs}, m_registered.era, now);
        }
    }
    for (auto each = m_departures.begin(); each != m_departures.end();) {
        const target_entry *used = findUsed(each->first);
        const bool hasReturned = used != nullptr && !used->isDraining && used->startedAtMs <= each->second.startedAtMs;
        each = hasReturned || now > each->second.at + departureMemory ? m_departures.erase(each) : std::next(each);
    }
}

} // namespace flamingofield
