#include "balance/idle_limit.hpp"

#include <algorithm>
#include <cmath>

namespace flamingofield {

void idle_limit::recordDrop(duration idleTime, instant now)
{
    const bool isRepeated = m_lastDropAt != instant{} && now - m_lastDropAt <= sameCauseWindow;
    if (isRepeated) {
        const auto newLimit = std::chrono::duration_cast<duration>(std::min(idleTime, m_lastDropIdleTime) * limitFactor);
        m_limit = maxIdleTime(newLimit, now);
        m_limitSetAt = now;
    }
    m_lastDropIdleTime = idleTime;
    m_lastDropAt = now;
}

duration idle_limit::maxIdleTime(duration defaultLimit, instant now) const
{
    if (m_limitSetAt == instant{}) {
        return defaultLimit;
    }
    const double doublings = toSeconds(now - m_limitSetAt) / toSeconds(doublingTime);
    const double limit = toSeconds(m_limit) * std::exp2(std::max(0.0, doublings));
    return limit >= toSeconds(defaultLimit) ? defaultLimit : std::chrono::duration_cast<duration>(std::chrono::duration<double>(limit));
}

} // namespace flamingofield
