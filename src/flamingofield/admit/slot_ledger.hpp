#pragma once

#include "admit/slot_window.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace flamingofield {

/// What a request may be used for when a target is picked.
struct pick_request
{
    bool mayTry = false; ///< Idempotent and not urgent, so it may be the trial of an ejected target.
    std::uint64_t excluded = 0; ///< Bit per target that this request has already tried; targets above 63 are not excluded.
    std::uint64_t seed = 0; ///< Breaks ties.
    instant now;
};

/// Slots of one target as seen by this node.
struct target_slots
{
    slot_window window;
    int inUse = 0;
    double weight = 1.0; ///< Share of work relative to a healthy target; 0 takes no work.
    int shedsInRow = 0;
    instant restsUntil; ///< After a shed answer nothing is sent for a while.
    bool trialDue = false; ///< Ejected, and one trial request may be sent.
};

/// Slots in use at each target of one service. Not thread-safe.
class slot_ledger
{
public:
    /// Adds targets as needed; indices stay valid.
    target_slots &at(std::size_t target);

    std::size_t size() const
    {
        return m_targets.size();
    }

    /// Takes a slot at the target with the least load for its weight.
    /// @return index of the target, or none if no slot is free
    std::optional<std::size_t> pick(const pick_request &request);

    /// Ends a request.
    /// @param shed true if the target refused the request for load
    /// @param succeeded true if it ended well
    void release(std::size_t target, bool succeeded, bool shed, instant now);

    /// True if any target takes work at all.
    bool hasEligible() const;

    /// Slots in use.
    int inUse() const;

private:
    std::vector<target_slots> m_targets;
};

} // namespace flamingofield
