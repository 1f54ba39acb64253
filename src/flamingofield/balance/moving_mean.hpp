#pragma once

#include <algorithm>

namespace flamingofield {

/// Exponential moving average whose first values weigh more, so that it does not depend on an initial assumption.
class moving_mean
{
public:
    /// Weight of the newest value after the first ones.
    static constexpr double newestShare = 0.03;

    void observe(double value)
    {
        m_count += 1.0;
        m_mean += (value - m_mean) * std::max(newestShare, 1.0 / m_count);
    }

    /// Zero before the first value.
    double mean() const
    {
        return m_mean;
    }

    /// Number of values on which the mean rests: all of the first ones, then at most as many as the newest one's weight corresponds to.
    double weight() const
    {
        return std::min(m_count, 1.0 / newestShare);
    }

private:
    double m_mean = 0.0;
    double m_count = 0.0;
};

} // namespace flamingofield
