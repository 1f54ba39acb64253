#include "outlier/evidence_pool.hpp"

#include <algorithm>
#include <cmath>

namespace flamingofield {

namespace {

constexpr double priorBadRate = 0.01;
constexpr double priorObservations = 100.0;
constexpr double recentPriorObservations = 4.0;
constexpr double maxBadRate = 0.97;
constexpr double minComparisonShare = 0.5; // Of the evidence, that must remain in comparison with the other targets.
constexpr double maxPeerTotalRatio = 3.0;
constexpr double contradictionDeviations = 2.0; // By chance, one consistent view in forty exceeds this.
constexpr double contradictionVarianceOffset = 0.25;
constexpr double minHealthyBadRate = 0.005;
constexpr double maxHealthyBadRate = 0.6;
constexpr double maxPeerShare = 0.4; // Of the threshold, that one peer may contribute at most.
constexpr double peerNoiseNats = 1.0; // Subtracted; at any time some node has this much evidence against a healthy target by chance.
constexpr int minConfirmingMembers = 3;
constexpr double minConfirmingShare = 0.58; // Of the informed members; more than one data centre of three plus a chance failure.

double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<long>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// True if the peer recently sent requests to the target or has evidence against it; other peers cannot assess it.
bool isInformed(const peer_evidence &evidence, instant now)
{
    return now - evidence.receivedAt < peerEvidenceLifetime && (evidence.recent.total >= 1.0 || evidence.score >= minEvidence);
}

double othersRecentBadRate(std::size_t target, const evidence_view &view)
{
    std::vector<double> rates;
    for (std::size_t i = 0; i < view.targets.size(); ++i) {
        if (i != target && canReceiveRequests(view.targets[i])) {
            const recent_counts counts = pooledCounts(view.targets[i], view);
            rates.push_back((counts.bad + priorBadRate * recentPriorObservations) / (counts.total + recentPriorObservations));
        }
    }
    if (rates.empty()) {
        return priorBadRate;
    }
    // The upper quartile ignores single unhealthy targets but rises at once with a fault of the whole service.
    const auto upperQuartile = rates.begin() + static_cast<long>(rates.size() - 1 - rates.size() / 4);
    std::nth_element(rates.begin(), upperQuartile, rates.end());
    return *upperQuartile;
}

bool contradictsPeers(const target_health &t, const evidence_view &view)
{
    const recent_counts pooled = pooledCounts(t, view);
    const double peersBad = pooled.bad - t.recent.bad;
    const double peersTotal = pooled.total - t.recent.total;
    if (peersTotal < 1.0) {
        return false;
    }
    const double rate = std::clamp(peersBad / peersTotal, 0.0, 1.0);
    const double expected = rate * t.recent.total;
    return expected - t.recent.bad > contradictionDeviations * std::sqrt(expected * (1.0 - rate) + contradictionVarianceOffset);
}

double cappedPeerEvidence(const target_health &t, const evidence_view &view)
{
    double sum = 0.0;
    double strongest = 0.0;
    for (const auto &[peer, evidence] : t.peers) {
        if (isInformed(evidence, view.now)) {
            const double counted = std::max(0.0, evidence.score - peerNoiseNats);
            const double capped = std::min(counted, view.threshold * maxPeerShare);
            sum += capped;
            strongest = std::max(strongest, capped);
        }
    }
    // The strongest peer is left out, so that a single faulty or dishonest peer adds nothing.
    return sum - strongest;
}

bool isConfirmedByMajority(const target_health &t, const evidence_view &view)
{
    int confirming = evidenceOf(t.failureDetector, view.threshold) >= minEvidence ? 1 : 0;
    int informed = t.recent.total >= 1.0 || confirming > 0 ? 1 : 0;
    for (const auto &[peer, evidence] : t.peers) {
        if (isInformed(evidence, view.now)) {
            confirming += evidence.score >= minEvidence ? 1 : 0;
            ++informed;
        }
    }
    return confirming >= minConfirmingMembers && confirming > minConfirmingShare * informed;
}

} // namespace

recent_counts pooledCounts(const target_health &t, const evidence_view &view)
{
    recent_counts pooled{t.recent.bad + t.batchBad, t.recent.total + t.batchBad + t.batchGood};
    if (!view.usesPeerEvidence) {
        return pooled;
    }
    std::vector<recent_counts> peerCounts;
    std::vector<double> totals{pooled.total};
    for (const auto &[peer, evidence] : t.peers) {
        if (view.now - evidence.receivedAt < peerEvidenceLifetime) {
            peerCounts.push_back(evidence.recent);
            totals.push_back(evidence.recent.total);
        }
    }
    // Bounds the weight of a peer that reports far more observations than the median member.
    const double maxTotal = std::max(1.0, maxPeerTotalRatio * median(totals));
    for (const auto &counts : peerCounts) {
        const double factor = counts.total > maxTotal ? maxTotal / counts.total : 1.0;
        pooled.bad += factor * std::min(counts.bad, counts.total);
        pooled.total += factor * counts.total;
    }
    return pooled;
}

double healthyBadRate(std::size_t target, const evidence_view &view)
{
    std::vector<double> longTermRates;
    for (std::size_t i = 0; i < view.targets.size(); ++i) {
        const auto &t = view.targets[i];
        if (i != target && canReceiveRequests(t)) {
            longTermRates.push_back((t.longTermBad + priorBadRate * priorObservations) / (t.longTermTotal + priorObservations));
        }
    }
    const double rate = longTermRates.empty() ? priorBadRate : std::max(median(longTermRates), othersRecentBadRate(target, view));
    return std::clamp(rate, minHealthyBadRate, maxHealthyBadRate);
}

bool isWorseThanOthers(std::size_t target, double evidence, const evidence_view &view)
{
    if (!view.comparesTargets) {
        return true;
    }
    double othersTotal = 0.0;
    for (std::size_t i = 0; i < view.targets.size(); ++i) {
        othersTotal += i != target && canReceiveRequests(view.targets[i]) ? pooledCounts(view.targets[i], view).total : 0.0;
    }
    const recent_counts own = pooledCounts(view.targets[target], view);
    // With few observations, the others may have the same fault undetected.
    const double uncertainty = 1.0 / (othersTotal + 2.0);
    const double others = std::min(othersRecentBadRate(target, view) + uncertainty, maxBadRate);
    const double rate = own.total > 0.0 ? std::min(own.bad / own.total, maxBadRate) : 0.0;
    if (rate <= others) {
        return false;
    }
    const double good = own.total - own.bad;
    const double score = own.bad * std::log(rate / others) + good * std::log((1.0 - rate) / (1.0 - others));
    return score >= std::min(evidence, view.threshold) * minComparisonShare;
}

double combinedEvidence(const target_health &t, const evidence_view &view)
{
    const double local = evidenceOf(t.failureDetector, view.threshold);
    // If only some nodes see an unhealthy target, the fault may be in their network paths, so each decides on its own evidence.
    const double peers = view.usesPeerEvidence && !t.peers.empty() ? cappedPeerEvidence(t, view) : 0.0;
    const bool usesPeerEvidence = peers > 0.0 && isConfirmedByMajority(t, view) && !contradictsPeers(t, view);
    return usesPeerEvidence ? local + peers : local;
}

} // namespace flamingofield
