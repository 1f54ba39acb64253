#pragma once

#include "discovery/registry_contact.hpp"
#include "discovery/target_snapshot.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
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
/// Nodes exchange lists as the registry gave them, in the order of their revisions, and each decides alone what to keep beside them.
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

    /// Raises the revision of the registry's list, which a reader has found unchanged.
    void confirm(std::uint64_t revision);

    /// True if this node has no list from before the present outage of the registry, so that it should take over a peer's missing targets.
    bool awaitsMissing(instant now) const;

    /// Removes missing targets that have had enough time to register again.
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

    /// The registry's list and the missing targets.
    target_snapshot inUse() const;

    std::uint64_t revision() const
    {
        return m_registered.revision;
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
    bool isNews(const target_document &document) const;
    /// The targets in use if renewals are awaited, otherwise none.
    std::vector<target_entry> candidatesAt(instant now) const;
    void setRegistered(target_snapshot registered, bool isProvisional, instant now);
    /// Uses those of the candidates that the registry does not list and that may be alive.
    void setMissing(const std::vector<target_entry> &candidates);

    registry_contact m_contact;
    target_snapshot m_registered;
    std::uint64_t m_registeredDigest = 0;
    bool m_isProvisional = false; ///< m_registered may contain missing targets of a peer.
    std::vector<target_entry> m_missing; ///< Sorted by id, none of them in m_registered.
    std::optional<std::uint64_t> m_inUseDigest;
    std::optional<instant> m_firstListAt;
    bool m_isChanged = false;
};

} // namespace flamingofield
