#include "balance/health_filter.hpp"
#include "support/test_seed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <random>

using namespace flamingofield;

namespace {

const instant start = instant() + seconds(1000);

class health_filter_tests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(health_filter_tests);
    CPPUNIT_TEST(keepsAFailingTargetUnhealthyForTheLengthOfAGrayFailure);
    CPPUNIT_TEST(doesNotTakeATargetForUnhealthyAfterOneFailure);
    CPPUNIT_TEST(predictsFailuresBetterThanWithRatesForPhasesOfFourSeconds);
    CPPUNIT_TEST_SUITE_END();

    void keepsAFailingTargetUnhealthyForTheLengthOfAGrayFailure()
    {
        health_filter filter;
        filter.observe(failureEvidence, start);
        filter.observe(failureEvidence, start);
        CPPUNIT_ASSERT(filter.unhealthyProbability(start) > 0.9);
        CPPUNIT_ASSERT(filter.unhealthyProbability(start + seconds(4)) > 0.6);
        CPPUNIT_ASSERT(filter.unhealthyProbability(start + seconds(40)) < 0.4);
    }

    void doesNotTakeATargetForUnhealthyAfterOneFailure()
    {
        health_filter filter;
        for (int i = 0; i < 10; ++i) {
            filter.observe(successEvidence, start);
        }
        filter.observe(failureEvidence, start + milliseconds(200));
        CPPUNIT_ASSERT(filter.unhealthyProbability(start + milliseconds(200)) < 0.6);
    }

    /// Mean logarithmic loss, in nats, of the predictions of a filter for a target that fails three requests in four during a
    /// failure phase and otherwise one in eighty. A failure phase begins every nine seconds with a probability of three in ten.
    static double meanLogLoss(const transition_rates &rates)
    {
        std::mt19937_64 random(test_support::testSeed());
        std::uniform_real_distribution<double> chance(0.0, 1.0);
        std::exponential_distribution<double> pause(0.5);
        health_filter filter(rates);
        double sum = 0.0;
        int count = 0;
        bool isFailing = false;
        double phaseEnd = 0.0;
        for (double at = 0.0; at < 40000.0; at += pause(random), ++count) {
            if (at >= phaseEnd) {
                isFailing = chance(random) < 0.3;
                phaseEnd = at + 9.0;
            }
            const instant now = start + std::chrono::duration_cast<duration>(std::chrono::duration<double>(at));
            const double unhealthy = filter.unhealthyProbability(now);
            const double predicted = unhealthy * failureEvidence.ifUnhealthy + (1.0 - unhealthy) * failureEvidence.ifHealthy;
            const bool hasFailed = chance(random) < (isFailing ? 0.75 : 1.0 / 80.0);
            sum -= std::log(hasFailed ? predicted : 1.0 - predicted);
            filter.observe(hasFailed ? failureEvidence : successEvidence, now);
        }
        return sum / count;
    }

    /// Targets fail most requests in phases of nine seconds; a filter with rates for four seconds expects recovery too early.
    void predictsFailuresBetterThanWithRatesForPhasesOfFourSeconds()
    {
        const transition_rates previous{0.04, 0.25};
        CPPUNIT_ASSERT(meanLogLoss(defaultTransitionRates) < meanLogLoss(previous));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(health_filter_tests);

} // namespace
