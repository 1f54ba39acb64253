#pragma once

namespace flamingofield {

/// Token bucket that limits retries to a ratio of the first attempts.
class retry_budget
{
public:
    /// @param ratio retries allowed per first attempt
    explicit retry_budget(double ratio)
        : m_ratio(ratio)
    {
    }

    /// Counts a first attempt.
    void deposit();

    /// Takes the token for one retry.
    /// @return true if the retry may be sent
    bool tryWithdraw();

private:
    double m_ratio;
    double m_tokens = 1.0;
};

} // namespace flamingofield
