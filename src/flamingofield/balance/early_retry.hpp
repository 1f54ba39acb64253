#pragma once

#include "balance/count_window.hpp"
#include "balance/target_row.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace flamingofield {

/// Service times of one route on a logarithmic axis. Each new one lowers the weight of the earlier ones.
class decaying_service_times
{
public:
    /// @param count number of the latest service times that mainly determine the quantiles
    explicit decaying_service_times(double count);

    void observe(duration taken);

    /// Records a service time of which only a lower bound is known, no higher than the quantile.
    /// @param share see quantile()
    void observeUnfinished(duration taken, double share);

    /// Upper edge of the bin in which the quantile lies.
    /// @param share from 0 to 1
    /// @return nothing while there are too few service times for a high quantile
    std::optional<duration> quantile(double share) const;

private:
    static constexpr std::size_t bins = 64;

    static std::size_t binOf(duration taken);
    std::size_t quantileBin(double share) const;
    void add(std::size_t bin);

    double m_growth; ///< Weight of a service time relative to the one before.
    std::array<double, bins> m_weights{};
    double m_totalWeight = 0.0;
    double m_newestWeight = 1.0; ///< Grows with each service time, in place of lowering all other weights.
    std::uint32_t m_count = 0; ///< Number of service times, counted up to the number that a high quantile needs.
};

/// An attempt of a request at a target, as seen by early_retry.
struct attempt_place
{
    std::string_view route;
    std::string_view service;
    std::uint64_t target = 0; ///< Key of the target.
};

/// State of a request and its service when a second attempt is considered.
struct early_retry_query
{
    attempt_place place; ///< Of the running attempt.
    duration running{}; ///< Time since the running attempt was sent.
    double expectedSlowness = 1.0; ///< Of the running attempt's target, see expectedSlowness().
    duration timeLeft{}; ///< Until the caller's deadline.
    duration objectiveTimeLeft{}; ///< Until the latency objective is missed; may be negative.
    bool isIdempotent = false;
    int attemptsLeft = 0; ///< Number of further targets to which the route allows the request to be sent.
    int slots = 0; ///< Of the service.
    int freeSlots = 0; ///< Of the service, without those that are reserved for more urgent requests.
    std::size_t queuedRequests = 0; ///< Of the service at this node.
    double budgetShare = 0.0; ///< Share of the retry budget that is used after one more retry, see fleet_retry_budget::usedShare().
};

/// Whether a second attempt is sent, or the first condition that is not met.
enum class early_verdict {
    send,
    notRepeatable, ///< The request is not idempotent, or its route allows no further target.
    fewServiceTimes, ///< The route's usual service times are not known yet.
    withinUsualTime,
    littleTimeLeft,
    fewFreeSlots,
    serviceSlow, ///< Attempts at other targets of the service are late, too.
    manyEarlyAttempts,
    littleBudget,
};

struct early_decision
{
    early_verdict verdict = early_verdict::notRepeatable;
    duration usualTime{}; ///< Running time from which a second attempt is considered; zero if unknown.
};

/// Factor by which an attempt at the target is expected to take longer than usual, because the target is known to be slow, has been
/// started recently or has more requests than slots.
/// @param inFlight requests at the target from all nodes
/// @return 1 or more, bounded so that an attempt that hangs is noticed at such a target, too
double expectedSlowness(const target_row &target, int inFlight, instant now);

/// Decides when an idempotent request is sent to a second target although the first one may still answer.
///
/// An attempt is repeated if it has run for longer than almost all recent attempts of its route, and if the other targets of the service
/// answer in the times that are usual in the long term: if the service as a whole is slow, second attempts would only add load.
class early_retry
{
public:
    /// Largest share of the retry budget that may be used when an early attempt is sent. The rest is kept for retries after a failure,
    /// without which the request would certainly fail.
    static constexpr double maxBudgetShare = 0.5;
    /// No attempt is late before this time, however fast its route is: ticks, retransmissions and the scheduling of small VMs delay
    /// single answers by tens of milliseconds.
    static constexpr milliseconds minLateTime{50};
    /// @param maxEarlyShare largest share of a service's requests that this node repeats early, 0 to 1; zero for none
    explicit early_retry(double maxEarlyShare = 0.0)
        : m_maxEarlyShare(maxEarlyShare)
    {
    }

    void setMaxEarlyShare(double share)
    {
        m_maxEarlyShare = share;
    }

    double maxEarlyShare() const
    {
        return m_maxEarlyShare;
    }

    /// Counts a request that is sent to a target for the first time.
    void countRequest(std::string_view service, instant now);

    void countEarlyAttempt(std::string_view service, instant now);

    /// True if an attempt that has run for this long is late, compared with most attempts of the route in the long term; false while
    /// the usual service times are not known.
    bool isLate(std::string_view route, duration running) const;

    /// Counts an attempt when it becomes late, before its end is known.
    void countLate(const attempt_place &place, instant now);

    /// Records an attempt that has ended with a success.
    /// @param wasCountedLate countLate() was called for it
    void recordServed(const attempt_place &place, duration taken, bool wasCountedLate, instant now);

    /// Forgets routes and services without requests for a while; configurations may remove them. To be called regularly.
    void removeIdle(instant now);

    /// Records a late attempt that was cancelled or failed. Without these the usual times would fall as more requests are repeated early;
    /// they don't raise them either, since targets that hang say nothing about the usual times.
    void recordUnserved(std::string_view route, duration taken, instant now);

    /// False if decide() certainly allows no second attempt of one that has run for this long. Needs only the route's service times.
    bool isWorthDeciding(std::string_view route, duration running) const;

    early_decision decide(const early_retry_query &query, instant now) const;

private:
    /// Attempts of one service or target that were late or in time.
    struct punctuality
    {
        std::uint32_t late = 0;
        std::uint32_t inTime = 0;

        punctuality &operator+=(const punctuality &other)
        {
            late += other.late;
            inTime += other.inTime;
            return *this;
        }
    };

    struct early_counts
    {
        std::uint32_t requests = 0;
        std::uint32_t early = 0;

        early_counts &operator+=(const early_counts &other)
        {
            requests += other.requests;
            early += other.early;
            return *this;
        }
    };

    /// Three seconds in all: as long as targets that have begun to hang still get requests, and short enough to notice overload.
    static constexpr std::size_t punctualityBuckets = 6;
    static constexpr milliseconds punctualityBucketWidth{500};
    using punctuality_window = count_window<punctuality, punctualityBuckets>;

    /// Ten seconds in all, like the usual window of the retry budget.
    static constexpr std::size_t countBuckets = 10;
    static constexpr seconds countBucketWidth{1};

    /// The recent ones follow the route. The long-term ones stay while its service is slow for some thousand requests.
    struct route_times
    {
        decaying_service_times recent{250.0};
        decaying_service_times longTerm{20000.0};
        instant usedAt{};
    };

    struct service_row
    {
        count_window<early_counts, countBuckets> counts;
        punctuality_window all;
        std::unordered_map<std::uint64_t, punctuality_window> targets; ///< By key; targets without recent attempts are removed.
        instant prunedAt{};
        instant usedAt{};
    };

    service_row &rowOf(std::string_view service, instant now);
    route_times &timesOf(std::string_view route, instant now);
    void count(const attempt_place &place, const punctuality &attempts, instant now);
    bool isServiceSlow(const service_row &row, std::uint64_t target, instant now) const;

    double m_maxEarlyShare;
    std::map<std::string, route_times, std::less<>> m_serviceTimes; ///< By route.
    std::map<std::string, service_row, std::less<>> m_services;
};

} // namespace flamingofield
