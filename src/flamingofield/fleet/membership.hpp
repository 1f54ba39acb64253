#pragma once

#include "fleet/node_info.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace flamingofield {

/// Send a heartbeat.
struct send_heartbeat
{
    endpoint to;
    std::uint64_t sequence = 0;
    bool wantsAllRecords = false;
};

/// Ask a node to relay a heartbeat to a target.
struct send_indirect_heartbeat
{
    endpoint via;
    std::uint64_t sequence = 0;
    std::uint64_t target = 0; ///< Incarnation.
};

/// Send records to a node at once instead of with the next heartbeat.
struct send_records
{
    endpoint to;
    bool isFullSync = false; ///< All records instead of those that are piggybacked.
};

using membership_action = std::variant<send_heartbeat, send_indirect_heartbeat, send_records>;

/// Times of the detection of failed nodes.
struct membership_timing
{
    duration period = milliseconds(333); ///< Between heartbeats of one node.
    duration ackTimeout = milliseconds(300); ///< Before indirect heartbeats.
    duration suspectAfter = milliseconds(700); ///< Without any acknowledgement.
    duration deadAfter = milliseconds(3000); ///< Suspicion without refutation.
    duration removeAfter = seconds(60); ///< Of nodes that are dead or left.
    duration contactPeriod = seconds(2); ///< Between heartbeats to candidate addresses of no live node.
};

/// Row of the membership table.
struct member_row
{
    node_record record;
    instant stateSince;
    instant epochAt; ///< When the epoch was received.
    int transmissionsLeft = 0; ///< How often the record is still to be piggybacked.
};

/// SWIM-like membership and failure detection of the entry VMs. Makes no network calls; not thread-safe, reads no clock.
///
/// Each node sends one heartbeat per period to one of its neighbours, the nodes at distances 1, 2, 4, ... on a hash ring.
/// So the bytes that a node sends do not grow with the fleet, and its connections grow with the logarithm of the fleet's size.
class membership
{
public:
    membership(node_info self, membership_timing timing, std::uint64_t seed);

    /// Sets addresses that may be nodes, from the platform's VM list and the settings. A candidate becomes a member only when a
    /// message carries its record.
    void setCandidates(std::vector<endpoint> candidates);

    /// Merges a record that a peer passed on; refutes a suspicion of this node.
    void mergeRecord(const node_record &record, instant now);

    /// Merges the record that the sender of a message sent of itself.
    /// @return true if the sender is suspect or dead here, so that it must be sent that record to refute it
    bool mergeSender(const node_record &sender, instant now);

    /// Ends the heartbeat with this sequence number.
    void handleAck(std::uint64_t sequence);

    /// Compares the sender's digest with this node's; if they differ for some time, all records are sent to it.
    void compareDigest(std::uint64_t sender, std::uint64_t digest, instant now);

    /// Lets the next tick send a heartbeat to the node whose connection closed.
    void handleConnectionClosed(const endpoint &peer);

    /// Sends heartbeats and detects failed nodes.
    /// @return messages to send
    std::vector<membership_action> tick(instant now);

    /// Marks this node as leaving.
    void leave();

    /// This node's own record.
    node_record self(instant now) const;

    /// Records to piggyback, the least transmitted first; each counts as transmitted once more.
    std::vector<node_record> takePiggyback(std::size_t limit);

    /// All records, also of dead nodes until they are removed.
    std::vector<node_record> allRecords() const;

    /// Live nodes without this one; suspects only on request.
    std::vector<member_row> live(bool withSuspects) const;

    const member_row *find(std::uint64_t incarnation) const;

    /// Hash of the set of live nodes and suspects, this one among them, whatever their order.
    std::uint64_t digest() const;

    /// Addresses of this node's neighbours.
    std::vector<endpoint> neighbours() const;

    /// Changes of state since the last call, for logs and counters.
    std::vector<node_record> takeChanges();

private:
    struct pending_heartbeat
    {
        std::uint64_t target = 0;
        instant sentAt;
        bool hasSentIndirect = false;
    };

    void setState(member_row &row, node_state state, instant now);
    void sendChanges(std::vector<membership_action> &actions);
    void checkPending(instant now, std::vector<membership_action> &actions);
    void checkSuspects(instant now, std::vector<membership_action> &actions);
    void contactCandidates(instant now, std::vector<membership_action> &actions);
    void sendHeartbeats(instant now, std::vector<membership_action> &actions);
    void beginHeartbeat(const member_row &row, instant now, std::vector<membership_action> &actions);
    void removeExpired(instant now);
    int maxTransmissions() const;
    std::uint64_t random();

    node_info m_self;
    std::uint32_t m_recordVersion = 0;
    membership_timing m_timing;
    instant m_startedAt;
    std::unordered_map<std::uint64_t, member_row> m_rows;
    std::unordered_map<std::uint64_t, pending_heartbeat> m_pendingHeartbeats;
    std::vector<endpoint> m_candidates;
    std::vector<endpoint> m_closedConnections;
    std::vector<node_record> m_changes;
    std::vector<endpoint> m_fullSyncPeers;
    std::unordered_map<std::uint64_t, instant> m_digestDiffersSince;
    std::uint64_t m_sequence = 0;
    std::size_t m_nextNeighbour = 0;
    instant m_nextHeartbeat;
    instant m_nextContact;
    instant m_nextFullSync;
    std::uint64_t m_randomState;
    bool m_hasUnsentChanges = false;
    int m_selfTransmissions = 0;
};

} // namespace flamingofield
