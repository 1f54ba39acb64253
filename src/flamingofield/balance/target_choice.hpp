#pragma once

#include "balance/target_row.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingofield {

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
    double unservedShare = 0.0; ///< As the query had it.
    std::size_t mayStayUnused = 0; ///< Undisturbed targets that need no trial.
};

/// This node's part of the trials of unused targets. Only nodes that hear of all others' requests know which ones are unused;
/// each target has one of them as its first trier, so that they do not all try it at once.
struct trial_duty
{
    std::size_t triers = 0; ///< Nodes that make trials; zero if this one makes none.
    std::size_t index = 0; ///< This node's place among them.
};

/// A target that may take the request, with what is believed of it now.
struct target_candidate
{
    target_row *row = nullptr;
    double sickness = 0.0;
    double promise = 0.0; ///< If it begins at once.
    int inFlight = 0;
    bool isFree = false;
    bool isTrial = false; ///< Due for a trial.

    int freeSlots() const
    {
        return row->entry.slots - inFlight;
    }
};

/// What the node brings to a choice besides the request.
struct choice_terms
{
    std::string_view dataCentre; ///< The node's own, preferred among equals.
    std::uint64_t tieSeed = 0; ///< Decides among near equals.
    trial_duty trials;
    double floorShare = 0.7; ///< Part of a service's undisturbed targets that must stay in use.
    duration slotWork{}; ///< Mean work that occupies a slot of the service, zero if unknown.
};

/// A candidate with what it promises for the request.
target_candidate candidateOf(target_row &row, const target_query &query, int inFlight, instant now);

/// Candidate with the best expected outcome that has a free slot. None if waiting for a better one promises more.
///
/// Of the targets without a disturbance, most keep getting work whatever is believed of them: one that nobody has used
/// for a while goes first, unless it is among the few sickest.
std::optional<target_choice> chooseAmong(std::vector<target_candidate> candidates, const target_query &query, const choice_terms &terms,
                                         instant now);

} // namespace flamingofield
