#pragma once

#include "accounts/quota_table.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace flamingofield {

/// What a node says of itself when it reports the usage of accounts.
struct usage_sender
{
    bool isHub = false; ///< Callers are directed to it.
    bool isLeaving = false; ///< It is about to end and will report nothing more.
    bool wantsReports = false; ///< It is no hub, but serves enough requests to need the usage of the others.
};

/// The nodes that tell each other the usage of accounts: the hubs, and other nodes while callers still use them. From whom this node
/// hears follows its share of the quotas. Does no I/O and reads no clock.
class usage_peers
{
public:
    /// A node that has sent nothing for this long is not heard; longer than three intervals between its messages.
    static constexpr milliseconds hearingTime{1000};
    /// A node that is no hub gets reports for this long after it asked for them.
    static constexpr milliseconds requestTime{3000};

    /// @param expectsOthers the fleet is meant to have other nodes, so that a node that has heard none is not alone
    usage_peers(bool expectsOthers, instant startedAt)
        : m_expectsOthers(expectsOthers)
        , m_startedAt(startedAt)
    {
    }

    void setRules(const quota_rules &rules)
    {
        m_rules = rules;
    }

    /// Sets the ready hubs, as the membership knows them.
    /// @param hubs other nodes only
    void setHubs(const std::vector<std::uint64_t> &hubs, bool isSelfHub, instant now);

    /// Records a message of another node.
    void recordMessage(std::uint64_t peer, const usage_sender &sender, instant now);

    /// The part of the quotas that this node may use.
    quota_share share(instant now) const;

    /// Nodes to which this node reports.
    std::vector<std::uint64_t> recipients(instant now) const;

    /// Number of nodes that serve requests as far as known and that this node does not hear.
    std::size_t missing(instant now) const;

private:
    struct peer_state
    {
        instant heardAt{}; ///< Last message; instant{} if there was none.
        instant hubUntil{}; ///< It was a hub at this time at the latest.
        instant requestedAt{}; ///< Last message that asked for reports.
        bool isHub = false; ///< As the membership or the node itself said last.
        bool isListed = false; ///< The membership lists it as a ready hub.
    };

    bool isHeard(const peer_state &peer, instant now) const;
    std::size_t heard(instant now) const;

    quota_rules m_rules;
    bool m_expectsOthers;
    instant m_startedAt;
    bool m_hasHeard = false; ///< Any message was received.
    instant m_heardAt{}; ///< Last message. The others count this node as serving for at least a window after it.
    bool m_isSelfHub = false;
    std::map<std::uint64_t, peer_state> m_peers;
};

} // namespace flamingofield
