#pragma once

namespace flamingofield {

/// Token bucket that keeps retries below a ratio of first attempts.
class retry_budget
{
public:
    /// @param ratio retries earned by each first attempt
    explicit retry_budget(double ratio)
        : m_ratio(ratio)
    {
    }

    /// Counts a first attempt.
    void deposit();

    /// @return true if a retry may be sent; it is then counted
    bool withdraw();

private:
    double m_ratio;
    double m_tokens = 1.0;
};

} // namespace flamingofield
