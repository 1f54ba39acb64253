#pragma once

#include "mesh/mesh_message.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace flamingofield {

/// A known node of the fleet.
struct mesh_member_row
{
    mesh_member member;
    bool isLeaving = false;
    instant heardAt{}; ///< When the member itself last spoke, as far as this node or whoever told it knows.
    instant sentAt{}; ///< Last message to it.
    bool isExpected = false; ///< It is live and sends to this node regularly.
};

/// Nodes of the fleet and who speaks to whom.
///
/// In each data centre a few live nodes are hubs: those with the most processor first, equals by a fixed order. Callers are
/// directed to hubs, so that a few nodes see enough work to judge targets and share slots; all other nodes stay ready as
/// their replacements. Callers spread evenly over the hubs, so there are enough of them that the weakest carries its part. Hubs speak to
/// all hubs and to the nodes of their own data centre; others speak to their own hubs. Messages between data centres,
/// which users pay for, therefore grow with the number of hubs alone. No network, no clock.
class member_table
{
public:
    /// Members unheard of for this long are taken for dead; several lost datagrams in a row.
    static constexpr milliseconds memberLease{1300};

    member_table(mesh_member self, std::vector<node_address> seeds);

    void setReady(bool isReady);

    /// Takes up a message's sender and the members that it tells.
    /// @return true if the sender was dead or unknown before
    bool heard(const mesh_message &message, instant now);

    /// Live hubs of a data centre, first in order first.
    std::vector<node_address> hubs(const std::string &dataCentre, instant now) const;

    /// Live hubs of all data centres that are ready for callers.
    std::vector<mesh_member> readyHubs(instant now) const;

    /// Position of this node among those that read the store for the others; the one at 0 does. Hubs of all data centres come
    /// first, in the same order everywhere, then the other nodes of the own data centre.
    std::size_t readerRank(instant now) const;

    /// Addresses to which a message is due; they count as sent.
    /// @param isBusy this node has requests in flight, of which the hubs must know
    std::vector<node_address> takeDue(bool isBusy, instant now);

    /// Members that used to speak to this node and are taken for dead since the last call. Those that said they leave are none.
    std::vector<node_address> takeLost(instant now);

    /// Makes messages to all known members due at once.
    void hurry();

    /// Makes messages to all live hubs due at once.
    void hurryToHubs(instant now);

    /// Members to tell to a recipient in the own data centre, or to one elsewhere.
    std::vector<mesh_member> membersToTell(bool toOwnDataCentre, instant now) const;

    bool isInOwnDataCentre(node_address address) const;

    const mesh_member &self() const
    {
        return m_self;
    }

    std::size_t live(instant now) const;

private:
    /// Part of a data centre's processor that the hubs must have, each counted as the weakest of them.
    static constexpr double hubShare = 0.05;
    static constexpr std::size_t leastHubs = 1;
    /// Members told at most; bounds a datagram.
    static constexpr std::size_t mostMembersTold = 64;

    bool isLive(const mesh_member_row &row, instant now) const;
    std::vector<const mesh_member *> liveIn(const std::string &dataCentre, instant now) const;
    std::set<node_address> allHubs(instant now) const;
    /// Order in which members serve as hubs and readers.
    static bool isBefore(const mesh_member &a, const mesh_member &b);
    duration intervalTo(const mesh_member_row &row, bool otherIsHub, bool selfIsHub, bool isBusy, instant now) const;

    mesh_member m_self;
    std::vector<node_address> m_seeds;
    std::map<node_address, mesh_member_row> m_rows;
    std::map<node_address, instant> m_seedSentAt;
};

} // namespace flamingofield
