#include "balance/service_time_estimate.hpp"

#include <algorithm>

namespace flamingofield {

void service_time_estimate::observe(const std::string &route, duration taken)
{
    row &entry = m_rows[route];
    entry.count += 1.0;
    entry.meanSeconds += (toSeconds(taken) - entry.meanSeconds) * std::max(newestShare, 1.0 / entry.count);
}

duration service_time_estimate::mean(const std::string &route) const
{
    const auto found = m_rows.find(route);
    if (found == m_rows.end()) {
        return initialServiceTime;
    }
    // After few answers their mean is unreliable, so initialServiceTime keeps the weight of three answers.
    constexpr double assumedAnswers = 3.0;
    const double weight = std::min(found->second.count, 1.0 / newestShare);
    const double weightedMean
        = (found->second.meanSeconds * weight + toSeconds(initialServiceTime) * assumedAnswers) / (weight + assumedAnswers);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(weightedMean));
}

} // namespace flamingofield
