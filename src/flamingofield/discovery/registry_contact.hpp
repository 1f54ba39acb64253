#pragma once

#include "core/time.hpp"
#include "store/confirmation.hpp"

#include <optional>

namespace flamingofield {

/// A time during which the registry answered at least one node of the fleet without a gap in which registrations can expire.
struct contact_period
{
    instant start{}; ///< First answer of the registry.
    instant end{}; ///< Latest answer that is known.
    /// Latest answer before the outage of the registry that ended with the period; unset if there was none, as far as is known.
    std::optional<instant> outageStart;
    std::uint64_t era = 0; ///< Of the answers, see store_position.
    /// First answer in this era, if there was an earlier one, as far as is known. The registry has come back from an earlier copy then.
    std::optional<instant> returnedAt;
};

/// Combines what this node and its peers know about when the registry answered. It distinguishes an outage of the registry, in which
/// registrations of live targets expire, from a time in which only this node received no answer: the reads of a node that is cut off fail
/// as well, but its peers had answers meanwhile. Does no I/O and reads no clock.
class registry_contact
{
public:
    /// Time after an outage within which targets renew registrations that expired during it, according to the platform's contract.
    static constexpr milliseconds renewalTime{2000};

    /// @param heartbeat interval at which targets renew their registration; it expires after three of them
    /// @param reader identifies this process
    registry_contact(milliseconds heartbeat, std::uint16_t reader);

    /// Records an answer of the registry to this node. Late answers of an earlier era have no effect.
    void recordAnswer(confirmation_id own, std::uint64_t era, instant at);

    /// Records that the registry did not answer this node.
    void recordFailure(instant at);

    /// Adds what a peer knows.
    /// @param id of the latest answer that it knows
    void merge(contact_period other, confirmation_id id, instant now);

    /// The present period; unset until the first answer.
    const std::optional<contact_period> &period() const
    {
        return m_period;
    }

    /// The answer at the end of the period.
    confirmation_id latest() const
    {
        return m_answers.id();
    }

    /// True if the registry has returned from an outage so recently that targets may still have to renew their registrations, or has failed
    /// again since.
    bool isAwaitingRenewals(instant now) const;

    /// True if the latest answer dates from the time after an outage in which live targets may have had to renew their registrations: a
    /// target that it lacks has not left for certain.
    bool mayLackLive() const;

    /// True if the registry has come back from an earlier copy so recently that it may still list targets which had left before: their
    /// registrations expire in it only after the usual time without a renewal.
    bool mayListDeparted() const;

private:
    /// True if the period began with the return of the registry from an earlier copy.
    bool beginsEra(const contact_period &period) const;
    void add(const contact_period &other);
    /// Latest answer before a gap that is an outage, as far as this node knows: its call failed in it, or a peer had no answer for as long.
    /// A node that relied on peers and lost them has asked nobody, so its gap is none.
    std::optional<instant> failedSince() const;

    milliseconds m_expiryTime; ///< Time after its last renewal until a registration expires.
    /// No registration can expire in a shorter outage: the last renewal was at most one heartbeat before it.
    milliseconds m_minExpiryTime;
    std::uint16_t m_reader;
    confirmation m_answers; ///< The latest answer, which is the end of the period.
    std::optional<contact_period> m_period;
    std::optional<instant> m_failedAt; ///< When the registry was last known not to answer.
};

} // namespace flamingofield
