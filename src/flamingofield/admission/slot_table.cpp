#include "admission/slot_table.hpp"

#include <algorithm>
#include <cmath>

namespace flamingofield {

namespace {

constexpr milliseconds baseBackoff{15};
constexpr int maxBackoffDoublings = 4;

bool isExcluded(const target_criteria &criteria, std::size_t target)
{
    return target < 64 && ((criteria.excluded >> target) & 1U) != 0;
}

int weightedLimit(const target_slots &t)
{
    return t.weight <= 0.0 ? 0 : std::max(1, static_cast<int>(std::floor(t.limit.allowed() * std::min(t.weight, 1.0))));
}

bool hasFreeSlot(const target_slots &t, instant now)
{
    return t.limit.ceiling > 0 && now >= t.backoffUntil && t.inUse < weightedLimit(t);
}

} // namespace

target_slots &slot_table::at(std::size_t target)
{
    if (target >= m_targets.size()) {
        m_targets.resize(target + 1);
    }
    return m_targets[target];
}

std::optional<std::size_t> slot_table::pick(const target_criteria &criteria)
{
    std::optional<std::size_t> best;
    double bestLoad = 0.0;
    const std::size_t count = m_targets.size();
    for (std::size_t k = 0; k < count; ++k) {
        const std::size_t i = (k + criteria.seed) % count;
        target_slots &t = m_targets[i];
        if (isExcluded(criteria, i)) {
            continue;
        }
        if (t.isTrialDue && criteria.canBeTrial && t.inUse == 0) {
            t.isTrialDue = false;
            best = i;
            break;
        }
        // Relative to the ceiling, not the limit: a reduced limit grows only while it is fully used, which it would never be
        // if it kept requests away.
        const double load = t.weight > 0.0 ? (t.inUse + 1) / (t.weight * std::max(t.limit.ceiling, 1)) : 0.0;
        if (hasFreeSlot(t, criteria.now) && (!best || load < bestLoad)) {
            best = i;
            bestLoad = load;
        }
    }
    if (best) {
        ++m_targets[*best].inUse;
    }
    return best;
}

void slot_table::release(std::size_t target, bool succeeded, bool shed, instant now)
{
    target_slots &t = m_targets[target];
    const bool wasFull = t.inUse >= t.limit.allowed();
    --t.inUse;
    t.consecutiveSheds = succeeded ? 0 : t.consecutiveSheds;
    if (shed) {
        t.limit.decrease();
        t.backoffUntil = now + baseBackoff * (1 << std::min(t.consecutiveSheds, maxBackoffDoublings));
        ++t.consecutiveSheds;
    } else if (succeeded && wasFull) {
        t.limit.increase();
    }
}

bool slot_table::hasEligible() const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [](const auto &t) { return t.limit.ceiling > 0 && t.weight > 0.0; });
}

int slot_table::inUse() const
{
    int sum = 0;
    for (const auto &t : m_targets) {
        sum += t.inUse;
    }
    return sum;
}

} // namespace flamingofield
