#pragma once

#include "balance/target_choice.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace flamingofield {

/// How an exchange with a target ended.
enum class target_outcome {
    served, ///< A complete answer with a status below 500, valid if it is a 2xx; a 4xx is no failure of the target.
    failed, ///< A complete answer with a status of 500 or above; the request counts as run.
    shed, ///< The target answered that it did not run the request.
    replaced, ///< Another process answered at the target's address; the request did not run.
    broken, ///< The connection failed or timed out, or the answer was not valid.
    reset, ///< The target closed the connection while it had the request.
    cancelled, ///< Cancelled by the node, or ended by the target with 504 at the deadline; an impairment only if it took long.
};

/// A node's report about one target, sent to its peers.
struct target_report
{
    std::uint64_t key = 0;
    std::uint16_t inFlight = 0;
    target_counts counts;
    bool isLeaving = false; ///< The target said so to this node or to one of its peers.
};

/// Sums for the mean service time of the requests that occupy a slot at a given moment. Long requests occupy slots for more of the
/// time than their share of the requests, so each request is weighted by its service time.
struct slot_occupancy
{
    double squares = 0.0; ///< Decaying sum of squared service times in seconds.
    double sum = 0.0; ///< Decaying sum of service times in seconds.
};

/// Table of all targets with their state, from which requests are assigned to targets.
class target_table
{
public:
    /// @param dataCentre data centre of this node, preferred among equal targets
    /// @param seed differs from node to node, so that nodes break ties differently
    target_table(std::string dataCentre, std::uint64_t seed);

    /// Applies a snapshot.
    /// @return ids of the targets that were added or removed or whose draining state changed
    std::vector<std::string> apply(const target_snapshot &snapshot, instant now);

    /// Chooses a target for a request, see chooseAmong().
    std::optional<target_choice> choose(const target_query &query, instant now);

    /// Drops the requests in flight of peers whose reports have expired; called by choose().
    void expirePeerReports(instant now);

    void requestStarted(target_row &row);
    void requestFinished(target_row &row, target_outcome outcome, duration taken, duration meanServiceTime, instant now);

    void setTrialAssignment(const trial_assignment &assignment)
    {
        m_trialAssignment = assignment;
    }

    /// Sets the share of a service's unimpaired targets that must stay in use; the least healthy others may stay unused.
    void setFloorShare(double share)
    {
        m_floorShare = share;
    }

    /// Moves the shares of the listed services between data centres; until the first call, and for other services, a fixed cost applies.
    void updateShares(const std::map<std::string, service_traffic> &services, const share_settings &settings, instant now);

    /// The shares by service.
    const std::map<std::string, remote_share> &shares() const
    {
        return m_shares;
    }

    /// Changes of shares that operators should see, by service, see remote_share::takeChanges().
    std::vector<std::pair<std::string, data_centre_share>> takeShareChanges(instant now);

    /// Records which data centre a peer belongs to, so that its requests in flight count as the work of that one.
    void setPeerDataCentre(std::uint64_t peer, const std::string &dataCentre);

    /// Records the time that a connection to a target took, one round trip.
    void recordConnectTime(const target_row &row, duration taken);

    /// This node's reports about the targets that gave an error answer since the last call. Peers should get them at once.
    std::vector<target_report> takeUrgentReports();

    /// Records that a request has become overdue (once for each request) or that its connection was reset.
    void recordOverdueOrReset(target_row &row, instant now);

    void setLoadReport(target_row &row, load_report report);

    /// Takes a target out of use for good, because it said that it is leaving. It stays out when the registry lists it as ready, or
    /// again after a gap; a new process with its id is another target.
    /// @return true if that was not known
    bool markLeaving(target_row &row);

    /// Sends the target no requests for a time, because it asked for that.
    void closeFor(target_row &row, duration time, instant now);

    /// Number of registered targets that said that they are leaving.
    std::size_t leavingTargets() const;

    /// Number of registered targets that asked this node for no requests at present.
    std::size_t closedTargets(instant now) const;

    /// Time until the first target of the service accepts requests again; zero if one does now, or if there are none.
    duration timeUntilOpen(std::string_view service, instant now) const;

    /// Applies a peer's report about all targets at which it has requests or had some recently.
    void applyPeerReport(std::uint64_t peer, const std::vector<target_report> &rows, instant now);

    /// Applies a peer's report about some of its targets; what it reported before about the others still applies. Ignored if no other
    /// report of the peer is current.
    void applyPartialPeerReport(std::uint64_t peer, const std::vector<target_report> &rows, instant now);

    /// Renews what a peer has reported, because it has sent all changes since then.
    /// @return false if no report of the peer is current; it must then send a full one
    bool renewPeerReport(std::uint64_t peer, instant now);

    /// This node's report to its peers: the targets with requests in flight or with recent changes.
    std::vector<target_report> reportForPeers(instant now) const;

    /// Estimated health of each present target for peers: the probability of being unhealthy in one byte (0 to 254) each, or 255 for
    /// one that is leaving, in the order of the keys.
    std::string healthEstimates(instant now) const;

    /// Replaces the health estimates by those of another node, for a node that handles too few requests to estimate them itself.
    /// Ignored if the number of targets differs. Both must have the same targets.
    void applyHealthEstimates(std::string_view healthEstimates, instant now);

    /// Requests at the target from all nodes, as far as known to this node.
    int inFlight(const target_row &row, instant now) const;

    /// Slots of all present targets of a service that are not draining.
    int slotsOf(std::string_view service) const;
    int freeSlotsOf(std::string_view service, instant now) const;
    bool hasTargets(std::string_view service) const;

    /// True if the target is in another data centre than this node.
    bool isRemote(const target_row &row) const
    {
        return row.entry.dataCentre != m_dataCentre;
    }

    target_row *find(std::uint64_t key);
    const std::unordered_map<std::uint64_t, target_row> &rows() const
    {
        return m_rows;
    }

private:
    struct peer_counts
    {
        std::unordered_map<std::uint64_t, target_report> rows;
        instant lastReportAt{};
        std::string dataCentre; ///< Empty if unknown.
        bool isExpired = false; ///< Its requests in flight are no longer counted.
    };

    std::vector<target_candidate> candidatesFor(const target_query &query, const std::vector<target_row *> &rows, instant now);
    using centre_states = std::map<std::string, data_centre_state, std::less<>>; ///< By data centre.
    /// States of the data centres by service, for the listed services.
    std::map<std::string, centre_states> statesFor(const std::map<std::string, service_traffic> &services, instant now) const;
    void addPeerWork(std::map<std::string, centre_states> &states) const;
    /// State of the links to the data centres, which is the same for all services.
    centre_states linkStates(instant now) const;
    void addPeersInFlight(std::uint64_t key, int change);
    void applyRows(peer_counts &counts, const std::vector<target_report> &rows, bool isFirst, instant now);
    /// Mean service time of the requests that occupy the service's slots at a given moment, zero if unknown.
    duration slotServiceTime(std::string_view service) const;
    void removeDepartedTargets();
    std::vector<std::uint64_t> presentKeys() const;
    void updateServices();
    void forgetLeavingTargets(instant now);

    std::string m_dataCentre;
    std::uint64_t m_seed;
    std::uint64_t m_choices = 0;
    std::vector<std::uint64_t> m_urgentKeys; ///< Targets that gave an error answer since the last urgent report.
    trial_assignment m_trialAssignment{1, 0};
    double m_floorShare = 0.7;
    std::unordered_map<std::uint64_t, target_row> m_rows;
    std::unordered_map<std::string, std::vector<target_row *>> m_byService; ///< Targets that take requests, in the order of their keys.
    std::map<std::uint64_t, peer_counts> m_peers;
    /// Targets that said that they are leaving, with the time at which the registry listed them last. They outlive their rows, since
    /// the registry may lose and regain an entry.
    std::unordered_map<std::uint64_t, instant> m_leavingKeys;
    instant m_nextPeerExpiry{}; ///< No peer's report expires before this time.
    std::unordered_map<std::string, slot_occupancy> m_occupancy; ///< By service.
    std::map<std::string, remote_share> m_shares; ///< By service.
    std::map<std::string, duration> m_roundTrips; ///< Lowest recent connect times by data centre.
};

} // namespace flamingofield
