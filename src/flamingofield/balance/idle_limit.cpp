#include "balance/idle_limit.hpp"

#include <algorithm>
#include <cmath>

namespace flamingofield {

void idle_limit::lost(duration idleFor, instant now)
{
    const bool isRepeated = m_lostAt != instant{} && now - m_lostAt <= sameCause;
    if (isRepeated) {
        const auto kept = std::chrono::duration_cast<duration>(std::min(idleFor, m_lastIdle) * keptShare);
        m_limit = longest(kept, now);
        m_limitedAt = now;
    }
    m_lastIdle = idleFor;
    m_lostAt = now;
}

duration idle_limit::longest(duration usual, instant now) const
{
    if (m_limitedAt == instant{}) {
        return usual;
    }
    const double doublings = toSeconds(now - m_limitedAt) / toSeconds(doublingTime);
    const double limit = toSeconds(m_limit) * std::exp2(std::max(0.0, doublings));
    return limit >= toSeconds(usual) ? usual : std::chrono::duration_cast<duration>(std::chrono::duration<double>(limit));
}

} // namespace flamingofield
