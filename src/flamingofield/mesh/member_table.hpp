#pragma once

#include "mesh/mesh_message.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace flamingofield {

/// A known node of the fleet.
struct known_member
{
    mesh_member member;
    bool isLeaving = false;
    instant lastReceivedAt{}; ///< Last message of the member, to this node or to a peer that listed it.
    instant lastSentAt{}; ///< Last message of this node to it.
    bool isExpectedToSend = false; ///< It has been live and in regular contact with this node; its silence is reported once.
};

/// Membership of the fleet and the schedule of messages between its nodes.
///
/// In each data centre a few live nodes are hubs: those with the most CPU capacity, ties broken by a hash of the address. Callers are
/// directed to the hubs only, so that a few nodes see enough requests to assess targets and to share slots. Callers spread evenly
/// over the hubs, so the number of hubs is chosen such that the weakest one can carry its share. Hubs send to all hubs and to the
/// nodes of their own data centre; other nodes send to the hubs of their own data centre. The traffic between data centres, which
/// users pay for, therefore grows only with the number of hubs. Does no I/O and reads no clock.
class member_table
{
public:
    /// A member counts as dead after this time without a message; covers several lost datagrams in a row.
    static constexpr milliseconds memberLease{1300};

    member_table(mesh_member self, std::vector<node_address> seeds);

    void setReady(bool isReady);

    /// Updates the table from the sender and the member list of a message.
    /// @return true if the sender was dead, leaving or unknown before
    bool applyMessage(const mesh_message &message, instant now);

    /// Live hubs of a data centre, the preferred first.
    std::vector<node_address> hubsIn(const std::string &dataCentre, instant now) const;

    /// Live hubs of all data centres that are ready for callers.
    std::vector<mesh_member> readyHubs(instant now) const;

    /// Position of this node among the candidates for reading the store on behalf of the others; the node at 0 reads it. Hubs of all
    /// data centres come first, in an order that all nodes compute alike, then the other nodes of this node's data centre.
    std::size_t readerPosition(instant now) const;

    /// Returns the addresses to which a message is due and records the messages as sent.
    /// @param isBusy this node has requests in flight, which it must report to the hubs more often
    std::vector<node_address> takeDueRecipients(bool isBusy, instant now);

    /// Members in regular contact with this node that were found dead since the last call, without those that announced a planned stop.
    std::vector<node_address> takeLostMembers(instant now);

    /// Makes a message to each known member due immediately.
    void makeAllMessagesDue();

    /// Makes a message to each live hub due immediately.
    void makeHubMessagesDue(instant now);

    /// Member list for a message: live hubs, and for a recipient in the own data centre also its other live nodes.
    std::vector<mesh_member> membersForPeer(bool isForOwnDataCentre, instant now) const;

    bool isInOwnDataCentre(node_address address) const;

    const mesh_member &self() const
    {
        return m_self;
    }

    /// Number of live members, without this node.
    std::size_t livePeerCount(instant now) const;

private:
    /// Minimum share of a data centre's CPU capacity that its hubs have, each counted with the capacity of the weakest.
    static constexpr double minHubCapacityShare = 0.05;
    static constexpr std::size_t minHubs = 1;
    /// Bounds the size of a datagram.
    static constexpr std::size_t maxMembersPerMessage = 64;

    bool isLive(const known_member &row, instant now) const;
    std::vector<const mesh_member *> liveMembersIn(const std::string &dataCentre, instant now) const;
    std::set<node_address> allHubs(instant now) const;
    /// True if a comes before b in the order in which members become hubs and store readers.
    static bool isPreferred(const mesh_member &a, const mesh_member &b);
    duration intervalTo(const known_member &row, bool isPeerHub, bool isSelfHub, bool isBusy, instant now) const;

    mesh_member m_self;
    std::vector<node_address> m_seeds;
    std::map<node_address, known_member> m_rows;
    std::map<node_address, instant> m_seedLastSentAt;
};

} // namespace flamingofield
