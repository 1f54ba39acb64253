#include "balance/service_time_estimate.hpp"

namespace flamingofield {

void service_time_estimate::observe(const std::string &route, duration taken)
{
    m_seconds[route].observe(toSeconds(taken));
}

duration service_time_estimate::mean(const std::string &route) const
{
    const auto found = m_seconds.find(route);
    if (found == m_seconds.end()) {
        return initialServiceTime;
    }
    // After few answers their mean is unreliable, so initialServiceTime keeps the weight of three answers.
    constexpr double assumedAnswers = 3.0;
    const double weight = found->second.weight();
    const double weightedMean
        = (found->second.mean() * weight + toSeconds(initialServiceTime) * assumedAnswers) / (weight + assumedAnswers);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(weightedMean));
}

} // namespace flamingofield
