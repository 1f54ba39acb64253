#include "balance/idle_limit.hpp"

#include <algorithm>
#include <cmath>

namespace flamingofield {

void idle_limit::lost(duration idleFor, instant now)
{
    const duration half = idleFor / 2;
    m_limit = m_lostAt == instant{} ? half : std::min(half, longest(half, now));
    m_lostAt = now;
}

duration idle_limit::longest(duration usual, instant now) const
{
    if (m_lostAt == instant{}) {
        return usual;
    }
    const double doublings = toSeconds(now - m_lostAt) / toSeconds(doublingTime);
    const double limit = toSeconds(m_limit) * std::exp2(std::max(0.0, doublings));
    return limit >= toSeconds(usual) ? usual : std::chrono::duration_cast<duration>(std::chrono::duration<double>(limit));
}

} // namespace flamingofield
