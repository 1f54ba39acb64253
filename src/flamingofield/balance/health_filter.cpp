#include "balance/health_filter.hpp"

#include <algorithm>
#include <cmath>

namespace flamingofield {

double health_filter::sickness(instant now) const
{
    const double total = m_rates.sickening + m_rates.recovery;
    const double equilibrium = m_rates.sickening / total;
    const double elapsed = std::max(0.0, toSeconds(now - m_updated));
    const double kept = m_updated == instant{} ? 0.0 : std::exp(-total * elapsed);
    return m_updated == instant{} ? m_sickness : equilibrium + (m_sickness - equilibrium) * kept;
}

void health_filter::observe(evidence_weight weight, instant now)
{
    const double before = sickness(now);
    const double sick = before * weight.whenSick;
    const double sound = (1.0 - before) * weight.whenSound;
    adopt(sick / (sick + sound), now);
}

void health_filter::adopt(double sickness, instant now)
{
    // Certainty could never be revised, so the filter stays away from it.
    constexpr double least = 0.002;
    constexpr double most = 0.98;
    m_sickness = std::clamp(sickness, least, most);
    m_updated = now;
}

double slowness_filter::fade(instant now) const
{
    return m_updated == instant{} ? 0.0 : std::exp(-std::max(0.0, toSeconds(now - m_updated)) / memorySeconds);
}

void slowness_filter::observe(duration taken, duration usual, instant now)
{
    const double kept = fade(now);
    m_taken = m_taken * kept + toSeconds(taken);
    m_usual = m_usual * kept + toSeconds(usual);
    m_updated = now;
}

double slowness_filter::ratio(instant now) const
{
    const double kept = fade(now);
    return std::clamp((m_taken * kept + priorSeconds) / (m_usual * kept + priorSeconds), bestRatio, worstRatio);
}

void slowness_filter::reset()
{
    *this = slowness_filter();
}

} // namespace flamingofield
