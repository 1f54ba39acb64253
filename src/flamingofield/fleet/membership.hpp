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
    bool wantsMembers = false;
};

/// Ask a node to send a heartbeat on our behalf.
struct send_indirect
{
    endpoint via;
    std::uint64_t sequence = 0;
    std::uint64_t target = 0;
};

/// Tell a node of a change at once instead of with the next heartbeat.
struct send_records
{
    endpoint to;
    bool isWhole = false; ///< All records instead of the newest ones.
};

using membership_action = std::variant<send_heartbeat, send_indirect, send_records>;

/// Times of the failure detector.
struct membership_timing
{
    duration period = milliseconds(333); ///< Between heartbeats of one node.
    duration ackTimeout = milliseconds(300); ///< Before indirect heartbeats.
    duration suspectAfter = milliseconds(700); ///< Without any acknowledgement.
    duration deadAfter = milliseconds(3000); ///< Suspicion without refutation.
    duration forgetAfter = seconds(60);
    duration contactPeriod = seconds(2); ///< Between heartbeats to hinted addresses that are not known as live.
};

/// Row of the membership table.
struct member_row
{
    node_record record;
    instant since; ///< Of the state.
    instant epochAt; ///< When the epoch was heard.
    int transmissionsLeft = 0; ///< How often the record is still passed on.
};

/// SWIM-like membership of the entry VMs. A plain table with systems; not thread-safe, reads no clock.
///
/// Each node sends one heartbeat a period to one of its neighbours, which lie at distances 1, 2, 4, ... on a ring of
/// hashes. So the bytes a node sends do not grow with the fleet and its connections grow with the logarithm.
class membership
{
public:
    membership(node_info self, membership_timing timing, std::uint64_t seed);

    /// Hints of addresses that may be nodes: the platform's VM list and the settings. They are never believed.
    void setHints(std::vector<endpoint> hints);

    /// Takes in a record that a peer passed on.
    void hear(const node_record &record, instant now);

    /// Takes in the sender of a message, which proves that it lives.
    /// @return true if the sender must be told that it is thought dead or suspect
    bool hearSender(const node_record &sender, instant now);

    /// An acknowledgement of a heartbeat.
    void hearAck(std::uint64_t sequence);

    /// Compares digests; a lasting difference leads to an exchange of all records.
    void hearDigest(std::uint64_t sender, std::uint64_t digest, instant now);

    /// The connection to an address closed; heartbeats go there at once.
    void notePipeClosed(const endpoint &peer);

    /// Runs the failure detector.
    std::vector<membership_action> tick(instant now);

    /// Marks this node as leaving.
    void leave();

    /// This node's own record.
    node_record self(instant now) const;

    /// Records to piggyback, the least transmitted first.
    std::vector<node_record> takePiggyback(std::size_t most);

    /// All records of nodes that are not forgotten.
    std::vector<node_record> allRecords() const;

    /// Nodes believed to live, this one not among them; suspects only on request.
    std::vector<member_row> live(bool withSuspects) const;

    const member_row *find(std::uint64_t incarnation) const;

    /// Order-free hash of the set of live nodes, with this one.
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
        bool hasIndirect = false;
    };

    void setState(member_row &row, node_state state, instant now);
    void spread(std::vector<membership_action> &actions);
    void checkPending(instant now, std::vector<membership_action> &actions);
    void checkSuspects(instant now, std::vector<membership_action> &actions);
    void contactHints(instant now, std::vector<membership_action> &actions);
    void sendNext(instant now, std::vector<membership_action> &actions);
    void beginHeartbeat(const member_row &row, instant now, std::vector<membership_action> &actions);
    void forgetOld(instant now);
    int transmissions() const;
    std::uint64_t random();

    node_info m_self;
    std::uint32_t m_counter = 0;
    membership_timing m_timing;
    instant m_startedAt;
    std::unordered_map<std::uint64_t, member_row> m_rows;
    std::unordered_map<std::uint64_t, pending_heartbeat> m_pending;
    std::vector<endpoint> m_hints;
    std::vector<endpoint> m_closedPipes;
    std::vector<node_record> m_changes;
    std::vector<endpoint> m_exchangeWith;
    std::unordered_map<std::uint64_t, instant> m_differsSince;
    std::uint64_t m_sequence = 0;
    std::size_t m_turn = 0;
    instant m_nextHeartbeat;
    instant m_nextContact;
    instant m_nextExchange;
    std::uint64_t m_randomState;
    bool m_mustSpread = false;
    int m_selfTransmissions = 0;
};

} // namespace flamingofield
