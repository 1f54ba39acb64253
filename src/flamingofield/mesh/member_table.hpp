#pragma once

#include "mesh/mesh_message.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace flamingofield {

/// A known node of the fleet.
struct known_member
{
    mesh_member member;
    bool isLeaving = false;
    instant lastReceivedAt{}; ///< Last message of the member to this node.
    instant lastListedAt{}; ///< Latest time at which a peer had received a message of the member, as the peer listed it.
    /// Start of the time for which this node has been waiting for a message of the member; instant{} while it expects none.
    instant awaitedSince{};
    instant lastSentAt{}; ///< Last message of this node to it.
    bool isReportedLost = false; ///< Its silence was reported; cleared by its next message.
    bool isContact = false; ///< This node sends to it regularly.
};

/// Role of the recipient of a message, which decides what the message carries.
enum class message_audience {
    follower, ///< A node of the own data centre that is no hub, while this node is one.
    localHub, ///< A hub of the own data centre.
    remoteHub, ///< A hub of another data centre.
    unconfirmed, ///< A seed, or a member that is dead or unknown.
};

/// What a message changed about its sender.
enum class member_change {
    none,
    regained, ///< The sender was dead, leaving or unknown before.
    leaving, ///< The sender announced a planned stop.
};

/// Membership of the fleet and the schedule of messages between its nodes.
///
/// In each data centre a few live nodes are hubs: those with the most CPU capacity, ties broken by a hash of the address. Callers are
/// directed to the hubs only, so that a few nodes see enough requests to assess targets and to share slots. Callers spread evenly
/// over the hubs, so the number of hubs is chosen such that the weakest one can carry its share. Hubs send to all hubs and to the
/// nodes of their own data centre; other nodes send to the hubs of their own data centre. The traffic between data centres, which
/// users pay for, therefore grows only with the number of hubs.
///
/// Only the hubs know all nodes of their data centre. They tell the others how many hubs there are, all hubs, and the nodes that
/// would become hubs next, so what a node that is no hub holds and sends does not grow with the fleet. When a hub falls silent, the
/// next one in order takes over; it has learned of the others by their next message. Does no I/O and reads no clock.
class member_table
{
public:
    /// A member that should send to this node counts as dead after this time without a message; covers several lost datagrams in a row.
    static constexpr milliseconds memberLease{1300};
    /// A member that is only known from lists counts as dead after this time without a newer entry. It outlasts the loss of the hub
    /// that sent the lists, so that its successors are still known then.
    static constexpr milliseconds listedLease{4000};
    /// Nodes of the own data centre that are listed for its other nodes: enough that some survive the loss of half of the fleet.
    static constexpr std::size_t maxListedLocalNodes = 16;

    /// Dead members are removed after this time; other VMs may have got their addresses.
    static constexpr seconds deadMemberRetention{60};

    member_table(mesh_member self, std::vector<node_address> seeds);
    member_table(const member_table &) = delete;
    member_table &operator=(const member_table &) = delete;
    member_table(member_table &&) = default;
    member_table &operator=(member_table &&) = default;
    ~member_table() = default;

    void setReady(bool isReady);

    /// Updates the table from the sender and the member list of a message.
    member_change applyMessage(const mesh_message &message, instant now);

    /// Live hubs of a data centre, the preferred first.
    std::vector<node_address> hubsIn(const std::string &dataCentre, instant now) const;

    /// Live hubs of all data centres that are ready for callers, in the order of their addresses.
    const std::vector<mesh_member> &readyHubs(instant now) const;

    /// True if this node is a hub.
    bool isHub(instant now) const;

    /// Position of this node among the candidates for reading the store on behalf of the others; the node at 0 reads it. Hubs of all
    /// data centres come first, in an order that all nodes compute alike, then the other nodes of this node's data centre.
    std::size_t readerPosition(instant now) const;

    /// Returns the addresses to which a message is due and records the messages as sent.
    /// @param isBusy this node has requests in flight, which it must report to the hubs more often
    std::vector<node_address> takeDueRecipients(bool isBusy, instant now);

    /// Role of the recipient of a message.
    message_audience audienceOf(node_address address, instant now) const;

    /// True if this node sends to the member regularly; the messages of others that want a reply must be answered.
    bool isSendingTo(node_address address) const;

    /// Members that this node expected to hear from and that were found dead since the last call, without those that announced a
    /// planned stop.
    std::vector<node_address> takeLostMembers(instant now);

    /// Time since the last message of a member, zero if there was none.
    duration silenceOf(node_address address, instant now) const;

    /// Makes a message to each known member due immediately.
    void makeAllMessagesDue();

    /// Member list for a message: the hubs of all data centres, and the nodes of the recipient's data centre that would become hubs
    /// next.
    /// @param recipientDataCentre empty for the hubs only
    std::vector<mesh_member> membersForPeer(const std::string &recipientDataCentre, instant now) const;

    /// Data centre of a known member, empty for others.
    std::string dataCentreOf(node_address address) const;

    /// Incarnation of a known member, zero for others.
    std::uint64_t incarnationOf(node_address address) const;

    bool isInOwnDataCentre(node_address address) const;

    const mesh_member &self() const
    {
        return m_self;
    }

    /// Number of known live members, without this node.
    std::size_t livePeerCount(instant now) const;

    /// Number of live nodes of all data centres with this one, as told by their hubs.
    std::size_t liveNodes(instant now) const;

    /// Number of members that this node remembers, dead ones included.
    std::size_t knownMembers() const
    {
        return m_rows.size();
    }

private:
    /// Minimum share of a data centre's CPU capacity that its hubs have, each counted with the capacity of the weakest.
    static constexpr double minHubCapacityShare = 0.05;
    /// Bounds the size of a datagram.
    static constexpr std::size_t maxMembersPerMessage = 64;

    /// Live members of one data centre, and which of them are hubs.
    struct data_centre_roles
    {
        std::vector<const known_member *> preferred; ///< The first in line for a role first; this node has no row.
        std::vector<node_address> hubs; ///< The preferred first; this node may be among them.
        std::size_t nodes = 0; ///< Live nodes of the data centre, as told by its first hub.
    };

    /// Roles of the live members. Kept until a row changes or expires, since they cost time in proportion to the rows.
    struct member_roles
    {
        std::map<std::string, data_centre_roles> dataCentres;
        std::vector<node_address> hubs; ///< Of all data centres, in the order of their addresses.
        std::vector<mesh_member> readyHubs;
        std::size_t readerPosition = 0;
        std::size_t livePeers = 0;
        bool isSelfHub = false;
        instant validUntil{}; ///< No live row expires before this time.
    };

    bool isLive(const known_member &row, instant now) const;
    /// Earliest time at which a live row becomes dead without further messages.
    static instant expiryOf(const known_member &row);
    void applyListed(const mesh_member &listed, instant now);
    const member_roles &roles(instant now) const;
    member_roles makeRoles(instant now) const;
    void assignHubs(const std::string &name, data_centre_roles &dataCentre, member_roles &roles) const;
    std::size_t readerPositionIn(const member_roles &roles) const;
    bool isHubAddress(const member_roles &roles, node_address address) const;
    const mesh_member &memberAt(node_address address) const;
    duration sendIntervalTo(const known_member &row, const member_roles &roles, bool isBusy, instant now) const;
    void appendDueProbes(std::vector<node_address> &due, instant now);
    void appendDueSeeds(std::vector<node_address> &due, instant now);
    /// Updates m_contacts and m_lost after a change of the roles.
    void updateContacts(instant now);

    mesh_member m_self;
    std::vector<node_address> m_seeds;
    std::map<node_address, known_member> m_rows;
    std::map<node_address, instant> m_seedLastSentAt;
    mutable member_roles m_roles;
    mutable bool m_areRolesStale = true;
    mutable std::uint64_t m_rolesVersion = 0; ///< Counts the updates of m_roles.
    std::uint64_t m_contactsVersion = 0; ///< m_rolesVersion from which m_contacts was made.
    std::vector<known_member *> m_contacts; ///< Members to which this node sends regularly.
    std::vector<node_address> m_lost; ///< For takeLostMembers().
    instant m_probedAt{};
    node_address m_lastProbed = 0; ///< Dead members are probed in the order of their addresses, from this one on.
};

} // namespace flamingofield
