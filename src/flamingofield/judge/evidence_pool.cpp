#include "judge/evidence_pool.hpp"

#include <algorithm>
#include <cmath>

namespace flamingofield {

namespace {

constexpr double priorBadRate = 0.01;
constexpr double priorWeight = 100.0; // Observations that the prior stands for.
constexpr double recentPriorWeight = 4.0;
constexpr double highestBadRate = 0.97;
constexpr double comparisonShare = 0.5; // Of the evidence, that must stand in comparison with the other targets.
constexpr double mostPeerTotalRatio = 3.0;
constexpr double contraryDeviations = 2.0; // One view in forty is wrongly taken as contrary.
constexpr double contraryVariance = 0.25;
constexpr double lowestBadRate = 0.005;
constexpr double highestHealthyRate = 0.6;
constexpr double peerCapShare = 0.4; // Of the threshold, that one peer may contribute.
constexpr double peerOffset = 1.0; // Nats that a healthy target reaches all the time somewhere.
constexpr int leastSupporters = 3;
constexpr double supporterShare = 0.58; // Of the witnesses; above what one data centre of three and a chance failure make.

double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<long>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// Only a peer that lately sent work to the target, or has evidence against it, can tell how it is.
bool isWitness(const peer_evidence &evidence, instant now)
{
    return now - evidence.heardAt < peerEvidenceLifetime && (evidence.recent.total >= 1.0 || evidence.score >= leastEvidence);
}

double othersRecentRate(std::size_t target, const evidence_view &view)
{
    std::vector<double> rates;
    for (std::size_t i = 0; i < view.targets.size(); ++i) {
        if (i != target && takesWork(view.targets[i])) {
            const recent_counts counts = pooledCounts(view.targets[i], view);
            rates.push_back((counts.bad + priorBadRate * recentPriorWeight) / (counts.total + recentPriorWeight));
        }
    }
    if (rates.empty()) {
        return priorBadRate;
    }
    // The upper quartile leaves single sick targets out; a fault of the whole service moves it at once.
    const auto place = rates.begin() + static_cast<long>(rates.size() - 1 - rates.size() / 4);
    std::nth_element(rates.begin(), place, rates.end());
    return *place;
}

bool contradictsPeers(const judged_target &t, const evidence_view &view)
{
    const recent_counts pooled = pooledCounts(t, view);
    const double peersBad = pooled.bad - t.recent.bad;
    const double peersTotal = pooled.total - t.recent.total;
    if (peersTotal < 1.0) {
        return false;
    }
    const double rate = std::clamp(peersBad / peersTotal, 0.0, 1.0);
    const double expected = rate * t.recent.total;
    return expected - t.recent.bad > contraryDeviations * std::sqrt(expected * (1.0 - rate) + contraryVariance);
}

double peersEvidence(const judged_target &t, const evidence_view &view)
{
    double sum = 0.0;
    double highest = 0.0;
    for (const auto &[peer, evidence] : t.peers) {
        if (isWitness(evidence, view.now)) {
            const double counted = std::max(0.0, evidence.score - peerOffset);
            const double capped = std::min(counted, view.threshold * peerCapShare);
            sum += capped;
            highest = std::max(highest, capped);
        }
    }
    // The strongest peer is left out, so that one peer that errs or lies adds nothing.
    return sum - highest;
}

bool isBorneOutByMost(const judged_target &t, const evidence_view &view)
{
    int supporters = evidenceOf(t.test, view.threshold) >= leastEvidence ? 1 : 0;
    int witnesses = t.recent.total >= 1.0 || supporters > 0 ? 1 : 0;
    for (const auto &[peer, evidence] : t.peers) {
        if (isWitness(evidence, view.now)) {
            supporters += evidence.score >= leastEvidence ? 1 : 0;
            ++witnesses;
        }
    }
    return supporters >= leastSupporters && supporters > supporterShare * witnesses;
}

} // namespace

recent_counts pooledCounts(const judged_target &t, const evidence_view &view)
{
    recent_counts pooled{t.recent.bad + t.batchBad, t.recent.total + t.batchBad + t.batchGood};
    if (!view.usesPeers) {
        return pooled;
    }
    std::vector<recent_counts> told;
    std::vector<double> totals{pooled.total};
    for (const auto &[peer, evidence] : t.peers) {
        if (view.now - evidence.heardAt < peerEvidenceLifetime) {
            told.push_back(evidence.recent);
            totals.push_back(evidence.recent.total);
        }
    }
    // No peer counts for much more than the usual one, whatever it claims to have seen.
    const double most = std::max(1.0, mostPeerTotalRatio * median(totals));
    for (const auto &counts : told) {
        const double factor = counts.total > most ? most / counts.total : 1.0;
        pooled.bad += factor * std::min(counts.bad, counts.total);
        pooled.total += factor * counts.total;
    }
    return pooled;
}

double healthyBadRate(std::size_t target, const evidence_view &view)
{
    std::vector<double> lasting;
    for (std::size_t i = 0; i < view.targets.size(); ++i) {
        const auto &t = view.targets[i];
        if (i != target && takesWork(t)) {
            lasting.push_back((t.longBad + priorBadRate * priorWeight) / (t.longTotal + priorWeight));
        }
    }
    const double rate = lasting.empty() ? priorBadRate : std::max(median(lasting), othersRecentRate(target, view));
    return std::clamp(rate, lowestBadRate, highestHealthyRate);
}

bool isWorseThanOthers(std::size_t target, double evidence, const evidence_view &view)
{
    if (!view.usesRelative) {
        return true;
    }
    double othersTotal = 0.0;
    for (std::size_t i = 0; i < view.targets.size(); ++i) {
        othersTotal += i != target && takesWork(view.targets[i]) ? pooledCounts(view.targets[i], view).total : 0.0;
    }
    const recent_counts own = pooledCounts(view.targets[target], view);
    // Few observations of the others leave room for the same fault there.
    const double uncertainty = 1.0 / (othersTotal + 2.0);
    const double others = std::min(othersRecentRate(target, view) + uncertainty, highestBadRate);
    const double rate = own.total > 0.0 ? std::min(own.bad / own.total, highestBadRate) : 0.0;
    if (rate <= others) {
        return false;
    }
    const double good = own.total - own.bad;
    const double score = own.bad * std::log(rate / others) + good * std::log((1.0 - rate) / (1.0 - others));
    return score >= std::min(evidence, view.threshold) * comparisonShare;
}

double combinedEvidence(const judged_target &t, const evidence_view &view)
{
    const double local = evidenceOf(t.test, view.threshold);
    // Where only some nodes see a target as sick, their paths may be at fault, and each judges for itself.
    const double peers = view.usesPeers && !t.peers.empty() ? peersEvidence(t, view) : 0.0;
    const bool usesPeers = peers > 0.0 && isBorneOutByMost(t, view) && !contradictsPeers(t, view);
    return usesPeers ? local + peers : local;
}

} // namespace flamingofield
