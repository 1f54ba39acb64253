#pragma once

#include "admission/concurrency_limit.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace flamingofield {

/// Conditions for choosing a target for a request.
struct target_criteria
{
    bool canBeTrial = false; ///< May be sent to an ejected target as a trial, since it is idempotent and not urgent.
    std::uint64_t excluded = 0; ///< One bit for each target already tried; targets above 63 cannot be excluded.
    std::uint64_t seed = 0; ///< Decides between targets of equal load.
    instant now;
};

/// Slots of one target as seen by this node.
struct target_slots
{
    concurrency_limit limit;
    int inUse = 0;
    double weight = 1.0; ///< Share of requests relative to a healthy target; at 0 it receives none.
    int consecutiveSheds = 0;
    instant backoffUntil; ///< No requests until then, after the target shed one.
    bool isTrialDue = false; ///< The target is ejected and may get one trial request.
};

/// Slots in use at each target of one service. Not thread-safe.
class slot_table
{
public:
    /// Row of a target; rows up to this index are added as needed.
    target_slots &at(std::size_t target);

    std::size_t size() const
    {
        return m_targets.size();
    }

    /// Takes a slot at the target with the lowest load relative to its weight.
    /// @return index of the target, or none if no slot is free
    std::optional<std::size_t> pick(const target_criteria &criteria);

    /// Returns a slot and adjusts the target's concurrency limit.
    /// @param succeeded true if the request succeeded
    /// @param shed true if the target refused the request because of its load
    void release(std::size_t target, bool succeeded, bool shed, instant now);

    /// True if any target has a weight and a slot limit above 0.
    bool hasEligible() const;

    /// Slots in use.
    int inUse() const;

private:
    std::vector<target_slots> m_targets;
};

} // namespace flamingofield
