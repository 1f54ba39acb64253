#pragma once

#include "core/time.hpp"

namespace flamingofield {

/// How much an observation says about a target's health.
struct evidence_weight
{
    double whenSick; ///< Probability of the observation at a sick target.
    double whenSound; ///< Probability of the observation at a sound target.
};

/// A target's own failure answer. Gray phases fail between a third and all of the requests, three quarters as a rule; sound
/// targets fail one in eighty.
constexpr evidence_weight failedAnswer{0.75, 0.014};
/// A success.
constexpr evidence_weight goodAnswer{0.25, 0.986};
/// A request that has taken several times its route's usual time, or whose connection the target reset. Long work and lost
/// connections happen at sound targets, so it weighs less than a failure.
constexpr evidence_weight suspiciousEnd{0.45, 0.03};
/// The same, seen by another node; the path between the two may be at fault instead of the target.
constexpr evidence_weight toldSuspicion{0.3, 0.1};
/// A refused, reset or silent connection.
constexpr evidence_weight brokenConnection{0.6, 0.03};

/// Mean rates at which targets change, per second.
struct phase_rates
{
    double sickening; ///< Sound targets turn sick.
    double recovery; ///< Sick targets recover.
};

/// Gray phases last about ten seconds and hold three targets in ten at a time.
constexpr phase_rates usualPhases{0.035, 0.08};

/// Probability that a target is sick, as a two-state filter: sound targets turn sick and sick ones recover at known mean
/// rates, and each observation shifts the odds. Without observations a suspicion therefore fades by itself, which brings
/// trial requests back without a timer for each target.
class health_filter
{
public:
    explicit health_filter(const phase_rates &rates = usualPhases)
        : m_rates(rates)
    {
    }

    /// Probability of sickness at a time not before the last observation.
    double sickness(instant now) const;

    /// Takes over what another node believes.
    void adopt(double sickness, instant now);

    /// Shifts the odds by one observation.
    void observe(evidence_weight weight, instant now);

private:
    static constexpr double initialSickness = 0.05;

    phase_rates m_rates;
    double m_sickness = initialSickness;
    instant m_updated{};
};

/// Ratio between the time that a target takes and the usual time of the same routes, from recent requests.
class slowness_filter
{
public:
    /// Notes a finished request.
    /// @param taken time until the answer
    /// @param usual mean time of the route at all targets
    void observe(duration taken, duration usual, instant now);

    /// 1 for an ordinary target, 5 for one that takes five times as long; between bestRatio and worstRatio.
    double ratio(instant now) const;

    void reset();

private:
    /// Time after which an observation counts by 1/e; shorter than the gray phases that it must follow.
    static constexpr double memorySeconds = 3.0;
    /// Weight of the assumption that a target is ordinary, in seconds of usual work.
    static constexpr double priorSeconds = 0.8;
    static constexpr double bestRatio = 0.5;
    static constexpr double worstRatio = 20.0;

    double fade(instant now) const;

    double m_taken = 0.0;
    double m_usual = 0.0;
    instant m_updated{};
};

} // namespace flamingofield
