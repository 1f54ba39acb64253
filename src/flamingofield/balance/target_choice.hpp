#pragma once

#include "balance/remote_share.hpp"
#include "balance/target_row.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingofield {

/// Properties of the request for which a target is chosen.
struct target_query
{
    std::string_view service;
    duration meanServiceTime{};
    duration timeLeft{}; ///< Until the caller's deadline.
    duration objectiveTimeLeft{}; ///< Until the latency objective is missed and an answer loses most of its value; may be negative.
    bool isIdempotent = false;
    duration queueWait{}; ///< Expected wait behind the requests that are already queued.
    /// Ids of targets that are not chosen, because the request was already tried there.
    const std::vector<std::string> *excluded = nullptr;
    /// Lower estimate of the share of the service's recent requests that were not served, see outcome_window::unservedShare().
    double unservedShare = 0.0;
    int reservedSlots = 0; ///< Free slots of the service that are reserved for more urgent requests.
    double transferBytes = 0.0; ///< Expected size of the request and its answer.
};

/// A chosen target and the figures behind the choice.
struct target_choice
{
    target_row *row = nullptr;
    double utility = 0.0; ///< Expected share of the request's value, less the costs of distance and load.
    double unhealthyProbability = 0.0;
    double slowness = 1.0;
    int inFlight = 0;
    int freeSlots = 0; ///< Of the service's targets whose slots may be reserved, before this request.
    bool isTrial = false; ///< Chosen because no node has used it for a while.
    double unservedShare = 0.0; ///< From the query.
    std::size_t maxUnusedTargets = 0; ///< Number of unimpaired targets that may stay unused.
};

/// This node's part in the trial requests to unused targets. Only nodes that receive the reports of all others know which targets
/// are unused. Each target is assigned to one of these trial nodes; the others send it a trial request only if that node does not.
struct trial_assignment
{
    std::size_t nodeCount = 0; ///< Number of trial nodes; zero if this node is none.
    std::size_t nodeIndex = 0; ///< This node's index among them.
};

/// A target that may receive the request, with its present state.
struct target_candidate
{
    target_row *row = nullptr;
    double unhealthyProbability = 0.0;
    double expectedValue = 0.0; ///< Expected share of the request's value if the target starts it at once.
    int inFlight = 0;
    bool isFree = false;
    bool isTrial = false; ///< Due for a trial.

    int freeSlots() const
    {
        return row->entry.slots - inFlight;
    }
};

/// Parameters of a choice that do not depend on the request.
struct choice_parameters
{
    std::string_view dataCentre; ///< The node's own, preferred among equals.
    std::uint64_t tieSeed = 0; ///< Seed of the tie break between nearly equal candidates.
    trial_assignment trialAssignment;
    double floorShare = 0.7; ///< Share of a service's unimpaired targets that must stay in use.
    duration slotServiceTime{}; ///< Mean service time of the requests that occupy the service's slots at a given moment, zero if unknown.
    const remote_share *share = nullptr; ///< Preference among data centres; null for a fixed preference for the own one.
};

/// True if a target takes another request now: it has a free slot and no backoff.
/// @param inFlight requests at the target from all nodes
bool hasFreeSlotFor(const target_row &row, int inFlight, instant now);

/// Rates a target for the request.
/// @param inFlight requests at the target from all nodes
target_candidate candidateOf(target_row &row, const target_query &query, int inFlight, instant now);

/// Chooses the candidate with a free slot that has the best expected outcome.
///
/// Most unimpaired targets keep getting requests whatever their estimated health is: one that no node has used for a while comes
/// first, unless it is among the few least healthy ones.
/// @return nothing if no slot is free, waiting for a busy target is expected to be better, or the free slots are reserved
std::optional<target_choice> chooseAmong(std::vector<target_candidate> candidates, const target_query &query,
                                         const choice_parameters &parameters, instant now);

} // namespace flamingofield
