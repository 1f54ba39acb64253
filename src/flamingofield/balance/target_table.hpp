#pragma once

#include "balance/health_filter.hpp"
#include "discovery/target_snapshot.hpp"

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
    broken, ///< The connection failed or went silent.
    reset, ///< The target ended the connection while it had the request.
    cancelled, ///< The node broke off; says nothing about the target.
};

/// Load that a target reported about itself.
struct load_report
{
    int running = 0;
    int waiting = 0;
    instant at{};
};

/// One backend server with all that this node believes of it.
struct target_row
{
    target_entry entry;
    std::uint64_t key = 0; ///< Hash of id and incarnation; names the target in messages between nodes.
    bool isPresent = true; ///< In the newest snapshot; absent rows stay until their requests have ended.
    instant coldUntil{};
    instant restUntil{}; ///< After it shed a request, no new one before this time.
    instant disturbedAt{}; ///< Last broken, unsound or very slow exchange; failure answers are no disturbance.
    instant usedAt{}; ///< Last time that any node is known to have sent it a request.
    int own = 0; ///< Requests of this node at the target.
    load_report load;
    health_filter health; ///< From answers, own and told.
    health_filter path; ///< From connections of this node alone.
    slowness_filter slowness;
    std::uint32_t goodAnswers = 0; ///< Cumulative, own, told to other nodes.
    std::uint32_t badAnswers = 0; ///< Cumulative, own, told to other nodes.
    std::uint32_t suspicions = 0; ///< Overdue and reset requests; cumulative, own, told to other nodes.
    instant toldAt{}; ///< Last change of what is told.
};

/// What another node told of one target.
struct told_target
{
    std::uint64_t key = 0;
    std::uint16_t inFlight = 0;
    std::uint32_t goodAnswers = 0;
    std::uint32_t badAnswers = 0;
    std::uint32_t suspicions = 0;
};

/// The request for which a target is sought.
struct target_query
{
    std::string_view service;
    duration usualWork{};
    duration timeLeft{}; ///< Until the caller gives up.
    duration aimLeft{}; ///< Until an answer loses most of its worth; may be negative.
    bool mayRepeat = false;
    duration lineWait{}; ///< Expected wait behind the requests that wait already.
    const std::vector<std::string> *excluded = nullptr; ///< Ids that already had the request.
    double unservedShare = 0.0; ///< Part of the service's recent requests that was not served.
    int reservedSlots = 0; ///< Free slots of the service that more urgent work keeps.
};

/// Mean work that occupies a slot. Long work fills more of the time than its share of the requests, so each request counts
/// by its length.
struct slot_occupancy
{
    double squares = 0.0; ///< Sum of squared work times in seconds, fading.
    double sum = 0.0; ///< Sum of work times in seconds, fading.
};

/// A chosen target and why.
struct target_choice
{
    target_row *row = nullptr;
    double utility = 0.0; ///< Expected share of the request's worth, less what distance and load cost.
    double sickness = 0.0;
    double slowness = 1.0;
    int inFlight = 0;
    int freeSlots = 0; ///< Of the service's sound targets before this request.
    bool isTrial = false; ///< Chosen because nobody has used it for a while.
};

/// This node's part of the trials of unused targets. Only nodes that hear of all others' requests know which ones are unused;
/// each target has one of them as its first trier, so that they do not all try it at once.
struct trial_duty
{
    std::size_t triers = 0; ///< Nodes that make trials; zero if this one makes none.
    std::size_t index = 0; ///< This node's place among them.
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

    /// Target with the best expected outcome that has a free slot. None if waiting for a better one promises more.
    ///
    /// Of the targets without a disturbance, most keep getting work whatever is believed of them: one that nobody has used
    /// for a while goes first, unless it is among the few sickest.
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

    struct candidate;

    /// How long a target may be unused before this node tries it.
    duration trialAfter(const target_row &row, bool mayRepeat) const;
    std::size_t mayStayUnused(const std::vector<candidate> &candidates, double unservedShare, instant now) const;
    /// Marks the targets that this request should try because nobody has used them for a while.
    void markTrials(std::vector<candidate> &candidates, const target_query &query, instant now) const;
    double utilityOf(const candidate &each) const;
    /// Utility with what decides among near equals.
    double orderOf(const candidate &each, instant now) const;
    double bestPromiseOfWaiting(const std::vector<candidate> &candidates, const target_query &query, instant now) const;
    std::vector<candidate> candidatesFor(const target_query &query, const std::vector<std::uint64_t> &keys, instant now);
    /// Time until one of a busy target's slots becomes free.
    duration slotFrees(const target_row &row, const target_query &query, instant now) const;

    /// Expected share of the request's worth if the target begins with it after a delay.
    double promiseOf(const target_row &row, const target_query &query, duration delay, instant now) const;
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
