#include "balance/health_filter.hpp"

#include <algorithm>
#include <cmath>

namespace flamingofield {

double health_filter::unhealthyProbability(instant now) const
{
    const double total = m_rates.failure + m_rates.recovery;
    const double equilibrium = m_rates.failure / total;
    const double elapsed = std::max(0.0, toSeconds(now - m_updated));
    const double kept = m_updated == instant{} ? 0.0 : std::exp(-total * elapsed);
    return m_updated == instant{} ? m_unhealthyProbability : equilibrium + (m_unhealthyProbability - equilibrium) * kept;
}

void health_filter::observe(observation_likelihood likelihood, instant now)
{
    const double prior = unhealthyProbability(now);
    const double unhealthy = prior * likelihood.ifUnhealthy;
    const double healthy = (1.0 - prior) * likelihood.ifHealthy;
    setProbability(unhealthy / (unhealthy + healthy), now);
}

void health_filter::setProbability(double unhealthyProbability, instant now)
{
    // At 0 or 1 no observation could change the probability any more, so it is kept away from both.
    constexpr double minProbability = 0.002;
    constexpr double maxProbability = 0.98;
    m_unhealthyProbability = std::clamp(unhealthyProbability, minProbability, maxProbability);
    m_updated = now;
}

double slowness_filter::decayFactor(instant now) const
{
    return m_updated == instant{} ? 0.0 : std::exp(-std::max(0.0, toSeconds(now - m_updated)) / decaySeconds);
}

void slowness_filter::observe(duration taken, duration expected, instant now)
{
    const double kept = decayFactor(now);
    m_takenSeconds = m_takenSeconds * kept + toSeconds(taken);
    m_expectedSeconds = m_expectedSeconds * kept + toSeconds(expected);
    m_updated = now;
}

double slowness_filter::ratio(instant now) const
{
    const double kept = decayFactor(now);
    return std::clamp((m_takenSeconds * kept + priorSeconds) / (m_expectedSeconds * kept + priorSeconds), minRatio, maxRatio);
}

void slowness_filter::reset()
{
    *this = slowness_filter();
}

} // namespace flamingofield
