#pragma once

#include "discovery/registry_contact.hpp"
#include "discovery/target_snapshot.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace flamingofield {

/// When the registry answered a peer or, as far as that knows, other nodes.
struct peer_contact
{
    contact_period period;
    confirmation_id latest; ///< The answer at the period's end.
};

/// This node's list of targets: those of the newest list of the registry that it or a peer has read and, for a time after an outage of the
/// registry, those whose registrations may have expired in it.
///
/// The registry may come back from an earlier copy, which lacks the latest registrations and lists targets that have left since. Missing
/// targets are kept as after an outage, and departed ones are not used again, until all have had the time to register or to expire.
///
/// Nodes exchange lists as the registry gave them, in the order of their positions, and each decides alone what to keep beside them.
/// Otherwise a node that was cut off could spread targets that have left under the newest revision. Does no I/O and reads no clock.
class known_targets
{
public:
    /// @param heartbeat interval at which targets renew their registration
    /// @param reader identifies this process, see confirmation_id
    known_targets(milliseconds heartbeat, std::uint16_t reader);

    /// Takes up an answer of the registry to this node; its list only if none newer is known.
    /// @param registered sorted by id
    /// @return true if the list was taken up
    bool applyRead(target_snapshot registered, confirmation_id own, instant now);

    /// Records that the registry did not answer this node.
    void recordFailedRead(instant now);

    /// Takes up when the registry answered a peer.
    void applyPeerContact(const peer_contact &contact, instant now);

    /// Takes up what a peer knows: its list if that is newer, and its missing targets if awaitsMissing() holds. A list that may contain
    /// missing targets is used only while there is no other, and until there is one.
    /// @param contact when the registry answered the peer until it sent the document
    /// @return true if the list was taken up as one of the registry
    bool applyPeerDocument(target_document document, const std::optional<peer_contact> &contact, instant now);

    /// Raises the position of the registry's list, which a reader has found unchanged.
    void confirm(const store_position &position);

    /// True if this node has no list from before the present outage of the registry, so that it should take over a peer's missing targets.
    bool awaitsMissing(instant now) const;

    /// Removes missing targets that have had enough time to register again, and uses what the registry lists if that of departed ones
    /// has had enough time to expire.
    void removeExpired(instant now);

    /// @return true if the targets in use have changed since the last call
    bool takeChange();

    /// True once there are targets to use, which may be none.
    bool hasList() const
    {
        return m_firstListAt.has_value();
    }

    /// True once there is a list as the registry gave it.
    bool hasRegisteredList() const
    {
        return hasList() && !m_isProvisional;
    }

    /// The registry's list without departed targets, and the missing ones.
    target_snapshot inUse() const;

    store_position position() const
    {
        return m_registered.position();
    }

    /// Digest of the registry's list, equal on all nodes that have the same one.
    std::uint64_t digest() const
    {
        return m_registeredDigest;
    }

    /// Number of targets in use that the registry does not list.
    std::size_t missing() const
    {
        return m_missing.size();
    }

    /// Number of targets that the registry lists although they have left.
    std::size_t departed() const
    {
        return m_listedDepartures.size();
    }

    bool mayListDeparted() const
    {
        return m_contact.mayListDeparted();
    }

    const std::optional<contact_period> &contact() const
    {
        return m_contact.period();
    }

    bool isAwaitingRenewals(instant now) const
    {
        return m_contact.isAwaitingRenewals(now);
    }

    /// What peers may fetch; only with a list as the registry gave it.
    target_document document() const;

private:
    struct known_departure
    {
        std::int64_t startedAtMs = 0; ///< Of the incarnation that has left; earlier ones have left as well.
        std::uint64_t era = 0; ///< In which it left; a list of a later era may have it from the copy from which that era began.
        instant at{};
    };

    bool isNews(const target_document &document) const;
    /// The targets in use if renewals are awaited, otherwise none.
    std::vector<target_entry> candidatesAt(instant now) const;
    /// Replaces the registry's list.
    /// @param candidates for missing targets, sorted by id
    void setRegistered(target_snapshot registered, bool isProvisional, const std::vector<target_entry> &candidates, instant now);
    /// Decides what to use beside the registry's list, and what of it not.
    /// @param candidates for missing targets, sorted by id
    void combine(const std::vector<target_entry> &candidates);
    /// True if this node knows that the target, or a later incarnation of it, has left.
    bool isKnownDeparture(const target_entry &target) const;
    /// The same if that was in an earlier era than that of the list, and it has not registered since.
    bool hasDeparted(const target_entry &target) const;
    void recordDeparture(const target_departure &departure, std::uint64_t era, instant now);
    /// Records which of the targets that were listed before have left, and forgets departures that lie longer back than any copy.
    void recordDepartures(const std::vector<target_entry> &before, instant now);
    /// The entry that is used for an id.
    /// @return null if there is none
    const target_entry *findUsed(const std::string &id) const;
    /// True if the registry lists a target of this id that is used.
    bool usesListed(const std::string &id) const;

    registry_contact m_contact;
    target_snapshot m_registered;
    std::uint64_t m_registeredDigest = 0;
    bool m_isProvisional = false; ///< m_registered may contain missing targets of a peer.
    std::vector<target_entry> m_missing; ///< Sorted by id; the registry lists none of them, or an earlier incarnation that has left.
    std::vector<target_departure> m_listedDepartures; ///< Of targets that the registry lists and that are not used; sorted by id.
    /// Ids of targets that have registered in the era of the list, since an earlier list of it did not have them.
    std::set<std::string> m_registeredInEra;
    std::map<std::string, known_departure> m_departures; ///< By id; kept for a limited time.
    std::optional<std::uint64_t> m_inUseDigest;
    std::optional<instant> m_firstListAt;
    bool m_isChanged = false;
};

} // namespace flamingofield
