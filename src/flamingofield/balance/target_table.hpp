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

/// How an exchange with a target ended, for the target's record.
enum class target_outcome {
    served, ///< A whole success.
    failed, ///< A whole answer with a failure that counts as run.
    shed, ///< The target said that it did not run the request.
    replaced, ///< Another process has the target's address; it did not run the request.
    broken, ///< The connection failed or went silent.
    reset, ///< The target ended the connection while it had the request.
    cancelled, ///< The node broke off; says nothing about the target.
};

/// What another node told of one target.
struct told_target
{
    std::uint64_t key = 0;
    std::uint16_t inFlight = 0;
    target_counts counts;
};

/// Mean work that occupies a slot. Long work fills more of the time than its share of the requests, so each request counts
/// by its length.
struct slot_occupancy
{
    double squares = 0.0; ///< Sum of squared work times in seconds, fading.
    double sum = 0.0; ///< Sum of work times in seconds, fading.
};

/// Table of all targets; the functions that decide where work goes read it. No network, no clock.
class target_table
{
public:
    /// @param dataCentre the node's own, preferred among equals
    /// @param seed spreads the choices of different nodes
    target_table(std::string dataCentre, std::uint64_t seed);

    /// Takes up a snapshot.
    /// @return ids that came, left or began to drain
    std::vector<std::string> apply(const target_snapshot &snapshot, instant now);

    /// Target for a request, see chooseAmong().
    std::optional<target_choice> choose(const target_query &query, instant now);

    void started(target_row &row);
    void finished(target_row &row, target_outcome outcome, duration taken, duration usualWork, instant now);

    void setTrials(const trial_duty &duty)
    {
        m_trials = duty;
    }

    /// Sets the part of a service's undisturbed targets that must stay in use; the sickest of them may be left out.
    void setFloorShare(double share)
    {
        m_floorShare = share;
    }

    /// True if what is told has changed so much since the last call that peers should hear at once.
    bool takeUrgentNews();

    /// Counts a request that has been running for several times the usual time, once, or one whose connection was reset.
    void suspect(target_row &row, instant now);

    void reported(target_row &row, load_report report);

    /// Takes up what a peer says of its own requests.
    void told(std::uint64_t peer, const std::vector<told_target> &rows, instant now);

    /// What this node tells others: targets with requests in flight or changed in the last seconds.
    std::vector<told_target> tell(instant now) const;

    /// What this node believes of each present target's health: a byte each, in the order of their keys.
    std::string beliefs(instant now) const;

    /// Takes over another node's beliefs, for a node that sees too little work of its own. Both must have the same targets.
    void adoptBeliefs(std::string_view beliefs, instant now);

    /// Requests at the target from all nodes, as far as known.
    int inFlight(const target_row &row, instant now) const;

    /// Slots of all present targets of a service that are not draining.
    int slotsOf(std::string_view service) const;
    int freeSlotsOf(std::string_view service, instant now) const;
    bool hasTargets(std::string_view service) const;

    target_row *find(std::uint64_t key);
    const std::unordered_map<std::uint64_t, target_row> &rows() const
    {
        return m_rows;
    }

private:
    struct peer_counts
    {
        std::unordered_map<std::uint64_t, told_target> rows;
        instant heardAt{};
    };

    std::vector<target_candidate> candidatesFor(const target_query &query, const std::vector<std::uint64_t> &keys, instant now);
    /// Mean work that occupies a slot of the service, zero if unknown.
    duration slotWork(std::string_view service) const;
    void removeEnded();
    std::vector<std::uint64_t> presentKeys() const;

    std::string m_dataCentre;
    std::uint64_t m_seed;
    std::uint64_t m_choices = 0;
    bool m_hasUrgentNews = false;
    trial_duty m_trials{1, 0};
    double m_floorShare = 0.7;
    std::unordered_map<std::uint64_t, target_row> m_rows;
    std::unordered_map<std::string, std::vector<std::uint64_t>> m_byService;
    std::map<std::uint64_t, peer_counts> m_peers;
    std::unordered_map<std::string, slot_occupancy> m_occupancy; ///< By service.
};

} // namespace flamingofield
