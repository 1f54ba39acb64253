#include "balance/early_retry.hpp"

#include <algorithm>
#include <cmath>

namespace flamingofield {

namespace {

/// The weights are scaled down when the newest one exceeds this.
constexpr double maxWeight = 1e9;
/// Fewer service times say little about a quantile near 1.
constexpr std::uint32_t minServiceTimes = 40;
/// Upper edge of the first bin; shorter service times are within the resolution of the event loop's ticks.
constexpr double firstEdgeSeconds = 0.001;
/// Bins for each doubling of the service time; the last of the 64 bins ends at 55 s.
constexpr double binsPerDoubling = 4.0;

/// An attempt that has run for longer than this share of its route's recent attempts may be repeated.
constexpr double repeatQuantile = 0.98;
/// The same if a second attempt at repeatQuantile would be likely to miss the latency objective.
constexpr double urgentQuantile = 0.95;
/// A second attempt needs this quantile of the service times: with less time left it would more likely fail than succeed.
constexpr double neededQuantile = 0.5;
/// Share of a service's slots that an early attempt leaves free, for requests that arrive before the other nodes know of it.
constexpr double minFreeShare = 0.1;
/// An attempt that has run for longer than this share of its route's attempts in the long term is late. With a higher quantile, slow
/// requests change it sooner, and a service that stays slow passes for a usual one.
constexpr double lateQuantile = 0.9;
/// If a larger share of the attempts at other targets is late, the service as a whole is slow. With exponentially distributed
/// service times, one in ten is late usually and three in ten if all targets take twice as long.
constexpr double maxLateShare = 0.25;
/// Targets without recent attempts are removed this often.
constexpr seconds pruneInterval{10};
/// Routes and services are forgotten after this time without requests; a route keeps about a kilobyte.
constexpr std::chrono::minutes idleLifetime{10};
/// Bounds of expectedSlowness().
constexpr double maxExpectedSlowness = 3.0;

} // namespace

decaying_service_times::decaying_service_times(double count)
    : m_growth(1.0 / (1.0 - 1.0 / count))
{
}

std::size_t decaying_service_times::binOf(duration taken)
{
    const double ratio = std::max(1.0, toSeconds(taken) / firstEdgeSeconds);
    return std::min(static_cast<std::size_t>(std::ceil(std::log2(ratio) * binsPerDoubling)), bins - 1);
}

std::size_t decaying_service_times::quantileBin(double share) const
{
    const double wanted = share * m_totalWeight;
    double sum = 0.0;
    std::size_t bin = 0;
    for (; bin + 1 < bins; ++bin) {
        sum += m_weights.at(bin);
        if (sum >= wanted) {
            break;
        }
    }
    return bin;
}

void decaying_service_times::add(std::size_t bin)
{
    m_newestWeight *= m_growth;
    m_weights.at(bin) += m_newestWeight;
    m_totalWeight += m_newestWeight;
    m_count = std::min(m_count + 1, minServiceTimes);
    if (m_newestWeight > maxWeight) {
        for (double &weight : m_weights) {
            weight /= maxWeight;
        }
        m_totalWeight /= maxWeight;
        m_newestWeight /= maxWeight;
    }
}

void decaying_service_times::observe(duration taken)
{
    add(binOf(taken));
}

void decaying_service_times::observeUnfinished(duration taken, double share)
{
    add(std::min(binOf(taken), quantileBin(share)));
}

std::optional<duration> decaying_service_times::quantile(double share) const
{
    if (m_count < minServiceTimes) {
        return std::nullopt;
    }
    const double edge = firstEdgeSeconds * std::exp2(static_cast<double>(quantileBin(share)) / binsPerDoubling);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(edge));
}

double expectedSlowness(const target_row &target, int inFlight, instant now)
{
    const double slowness = std::max({1.0, target.slowness.ratio(now), now < target.warmUpUntil ? warmUpSlowness : 1.0});
    const double load = static_cast<double>(inFlight) / std::max(1, target.entry.slots);
    return std::min(maxExpectedSlowness, slowness * std::max(1.0, load));
}

early_retry::service_row &early_retry::rowOf(std::string_view service, instant now)
{
    const auto found = m_services.find(service);
    service_row &row = found != m_services.end() ? found->second : m_services.emplace(std::string(service), service_row()).first->second;
    row.usedAt = now;
    return row;
}

early_retry::route_times &early_retry::timesOf(std::string_view route, instant now)
{
    const auto found = m_serviceTimes.find(route);
    route_times &times
        = found != m_serviceTimes.end() ? found->second : m_serviceTimes.emplace(std::string(route), route_times()).first->second;
    times.usedAt = now;
    return times;
}

void early_retry::removeIdle(instant now)
{
    const auto removeFrom = [now](auto &rows) {
        for (auto position = rows.begin(); position != rows.end();) {
            position = now - position->second.usedAt > idleLifetime ? rows.erase(position) : std::next(position);
        }
    };
    removeFrom(m_serviceTimes);
    removeFrom(m_services);
}

void early_retry::countRequest(std::string_view service, instant now)
{
    ++rowOf(service, now).counts.at(countBucketWidth, now).requests;
}

void early_retry::countEarlyAttempt(std::string_view service, instant now)
{
    ++rowOf(service, now).counts.at(countBucketWidth, now).early;
}

bool early_retry::isLate(std::string_view route, duration running) const
{
    if (running <= minLateTime) {
        return false;
    }
    const auto found = m_serviceTimes.find(route);
    const auto usual = found == m_serviceTimes.end() ? std::nullopt : found->second.longTerm.quantile(lateQuantile);
    return usual && running > *usual;
}

void early_retry::count(const attempt_place &place, const punctuality &attempts, instant now)
{
    service_row &row = rowOf(place.service, now);
    row.all.at(punctualityBucketWidth, now) += attempts;
    row.targets[place.target].at(punctualityBucketWidth, now) += attempts;
    if (now - row.prunedAt < pruneInterval) {
        return;
    }
    row.prunedAt = now;
    for (auto position = row.targets.begin(); position != row.targets.end();) {
        const punctuality recent = position->second.sum(punctualityBucketWidth, now);
        position = recent.late + recent.inTime == 0 ? row.targets.erase(position) : std::next(position);
    }
}

void early_retry::countLate(const attempt_place &place, instant now)
{
    count(place, {1, 0}, now);
}

void early_retry::recordServed(const attempt_place &place, duration taken, bool wasCountedLate, instant now)
{
    if (!wasCountedLate) {
        const bool late = isLate(place.route, taken);
        count(place, {late ? 1U : 0U, late ? 0U : 1U}, now);
    }
    route_times &times = timesOf(place.route, now);
    times.recent.observe(taken);
    times.longTerm.observe(taken);
}

void early_retry::recordUnserved(std::string_view route, duration taken, instant now)
{
    route_times &times = timesOf(route, now);
    times.recent.observeUnfinished(taken, repeatQuantile);
    times.longTerm.observeUnfinished(taken, repeatQuantile);
}

bool early_retry::isServiceSlow(const service_row &row, std::uint64_t target, instant now) const
{
    punctuality others = row.all.sum(punctualityBucketWidth, now);
    const auto own = row.targets.find(target);
    if (own != row.targets.end()) {
        const punctuality excluded = own->second.sum(punctualityBucketWidth, now);
        others.late -= excluded.late;
        others.inTime -= excluded.inTime;
    }
    // One standard deviation less, so that a few late attempts by chance do not count.
    const double late = others.late - std::sqrt(static_cast<double>(others.late));
    return late > maxLateShare * (others.late + others.inTime);
}

bool early_retry::isWorthDeciding(std::string_view route, duration running) const
{
    if (m_maxEarlyShare <= 0.0 || running <= minLateTime) {
        return false;
    }
    const auto found = m_serviceTimes.find(route);
    const auto earliest = found == m_serviceTimes.end() ? std::nullopt : found->second.recent.quantile(urgentQuantile);
    return earliest && running > *earliest;
}

early_decision early_retry::decide(const early_retry_query &query, instant now) const
{
    if (!query.isIdempotent || query.attemptsLeft < 1) {
        return {early_verdict::notRepeatable, {}};
    }
    const auto times = m_serviceTimes.find(query.place.route);
    const auto quantile = [&](double share) { return times == m_serviceTimes.end() ? std::nullopt : times->second.recent.quantile(share); };
    const auto needed = quantile(neededQuantile);
    const auto service = m_services.find(query.place.service);
    if (!needed || service == m_services.end()) {
        return {early_verdict::fewServiceTimes, {}};
    }
    const auto expected = [&](double share) {
        const auto time = std::chrono::duration_cast<duration>(*quantile(share) * query.expectedSlowness);
        return std::max<duration>(time, minLateTime);
    };
    duration usualTime = expected(repeatQuantile);
    const duration leftAtUsualTime = query.objectiveTimeLeft - (usualTime - query.running);
    if (query.objectiveTimeLeft >= *needed && leftAtUsualTime < *needed) {
        usualTime = expected(urgentQuantile);
    }
    early_verdict verdict = early_verdict::send;
    const early_counts counts = service->second.counts.sum(countBucketWidth, now);
    if (query.running <= usualTime) {
        verdict = early_verdict::withinUsualTime;
    } else if (query.timeLeft < *needed) {
        verdict = early_verdict::littleTimeLeft;
    } else if (query.queuedRequests > 0 || query.freeSlots - 1 < minFreeShare * query.slots) {
        verdict = early_verdict::fewFreeSlots;
    } else if (isServiceSlow(service->second, query.place.target, now)) {
        verdict = early_verdict::serviceSlow;
    } else if (counts.early > m_maxEarlyShare * counts.requests) {
        verdict = early_verdict::manyEarlyAttempts;
    } else if (!(query.budgetShare <= maxBudgetShare)) {
        verdict = early_verdict::littleBudget;
    }
    return {verdict, usualTime};
}

} // namespace flamingofield
