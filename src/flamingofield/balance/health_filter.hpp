#pragma once

#include "core/time.hpp"

namespace flamingofield {

/// Likelihood of an observation in each of a target's two states.
struct observation_likelihood
{
    double ifUnhealthy; ///< Probability of the observation at an unhealthy target.
    double ifHealthy; ///< Probability of the observation at a healthy target.
};

/// An error answer of the target itself. During a gray failure a target fails between a third and all of its requests, usually
/// three quarters; healthy targets fail one in eighty.
constexpr observation_likelihood failureEvidence{0.75, 0.014};
/// A successful answer.
constexpr observation_likelihood successEvidence{0.25, 0.986};
/// A request that has taken several times its route's mean service time, or whose connection the target reset. Both also happen
/// at healthy targets, so this weighs less than an error answer.
constexpr observation_likelihood overdueOrResetEvidence{0.45, 0.03};
/// The same, reported by a peer; the cause may be the network path between the peer and the target.
constexpr observation_likelihood peerOverdueOrResetEvidence{0.3, 0.1};
/// A connection that was refused, was reset or timed out.
constexpr observation_likelihood connectionFailureEvidence{0.6, 0.03};

/// Mean rates at which targets change their state, per second.
struct transition_rates
{
    double failure; ///< Healthy targets become unhealthy.
    double recovery; ///< Unhealthy targets recover.
};

/// Gray failures last about ten seconds and affect three targets in ten at a time.
constexpr transition_rates defaultTransitionRates{0.035, 0.08};

/// Estimates the probability that a target is unhealthy with a two-state Bayesian filter (a hidden Markov model): targets fail
/// and recover at known mean rates, and each observation updates the probability. Without observations the estimate returns to
/// the equilibrium of the rates, so an avoided target receives trial requests again without a timer of its own.
class health_filter
{
public:
    explicit health_filter(const transition_rates &rates = defaultTransitionRates)
        : m_rates(rates)
    {
    }

    /// @param now not before the last observation
    /// @return probability that the target is unhealthy
    double unhealthyProbability(instant now) const;

    /// Replaces the estimate, for example by that of a peer. The value is limited to a range without 0 and 1.
    void setProbability(double unhealthyProbability, instant now);

    /// Updates the estimate with one observation (Bayes' rule).
    void observe(observation_likelihood likelihood, instant now);

private:
    static constexpr double initialProbability = 0.05;

    transition_rates m_rates;
    double m_unhealthyProbability = initialProbability;
    instant m_updated{};
};

/// Ratio between the service times of a target and the mean service times of the same routes, over recent requests.
class slowness_filter
{
public:
    /// Records a finished request.
    /// @param taken time until the answer
    /// @param expected mean service time of the route over all targets
    void observe(duration taken, duration expected, instant now);

    /// 1 for an average target, 5 for one that takes five times as long; between minRatio and maxRatio.
    double ratio(instant now) const;

    void reset();

private:
    /// Time constant of the exponential decay; shorter than the gray failures, which the ratio must follow.
    static constexpr double decaySeconds = 3.0;
    /// Weight of the initial assumption of ratio 1, in seconds of mean service time.
    static constexpr double priorSeconds = 0.8;
    static constexpr double minRatio = 0.5;
    static constexpr double maxRatio = 20.0;

    double decayFactor(instant now) const;

    double m_takenSeconds = 0.0;
    double m_expectedSeconds = 0.0;
    instant m_updated{};
};

} // namespace flamingofield
