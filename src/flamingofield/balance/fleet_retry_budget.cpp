#include "balance/fleet_retry_budget.hpp"

#include <algorithm>
#include <limits>

namespace flamingofield {

namespace {

/// A node may spend this many times its proportional share of the usable budget. The product with usableBudgetShare is below 1,
/// so all nodes together stay within the full budget even if none receives the others' retry counts in time.
constexpr double nodeBudgetFactor = 1.3;

/// Share of the budget for a node that does not know what was spent before its restart. All nodes may have restarted together
/// just after using their budget, so this share and usableBudgetShare together must stay below 1.
constexpr double restartBudgetShare = 0.2;

/// No retries for this long after a restart: until the nodes have discovered each other, each assumes that it is the only one.
/// Longer than the lease of a member, which covers several messages.
constexpr milliseconds restartHoldOff{1500};

} // namespace

std::size_t nodesSharingRetryBudget(bool isHub, std::size_t hubs, std::size_t liveNodes)
{
    return isHub ? std::max<std::size_t>(1, hubs) : std::max(hubs, liveNodes) + 1;
}

fleet_retry_budget::service_row &fleet_retry_budget::rowOf(std::string_view service)
{
    const auto found = m_rows.find(service);
    return found != m_rows.end() ? found->second : m_rows.emplace(std::string(service), service_row()).first->second;
}

duration fleet_retry_budget::bucketWidth() const
{
    return std::chrono::duration_cast<duration>(m_limits.window) / buckets;
}

void fleet_retry_budget::countRequest(std::string_view service, instant now)
{
    ++rowOf(service).own.at(bucketWidth(), now).requests;
}

void fleet_retry_budget::countRetry(std::string_view service, instant now)
{
    ++rowOf(service).own.at(bucketWidth(), now).retries;
}

void fleet_retry_budget::applyPeerReport(std::uint64_t peer, std::string_view service, retry_counts counts, instant now)
{
    rowOf(service).peers[peer] = {now, counts};
}

bool fleet_retry_budget::isRetryAllowed(std::string_view service, std::size_t nodes, instant now) const
{
    return usedShare(service, nodes, now) <= 1.0;
}

double fleet_retry_budget::usedShare(std::string_view service, std::size_t nodes, instant now) const
{
    const bool isInHoldOff = m_restartedAt && now < *m_restartedAt + restartHoldOff;
    const auto found = m_rows.find(service);
    if (isInHoldOff || found == m_rows.end()) {
        return std::numeric_limits<double>::infinity();
    }
    const retry_counts ownCounts = found->second.own.sum(bucketWidth(), now);
    double requests = ownCounts.requests;
    double retries = ownCounts.retries;
    std::size_t reportingNodes = 1;
    for (const auto &[peer, entry] : found->second.peers) {
        if (now - entry.first < m_limits.window) {
            requests += entry.second.requests;
            retries += entry.second.retries;
            ++reportingNodes;
        }
    }
    const double fullBudget = m_limits.ratio * requests + m_limits.extraRetries;
    // Without reports from all nodes the others may be spending their shares, so this node is limited to an equal share.
    const double equalShare = 1.0 / static_cast<double>(std::max<std::size_t>(1, nodes));
    const double ownShare = reportingNodes >= nodes && requests > 0.0 ? ownCounts.requests / requests : equalShare;
    const double budget = usableBudgetShare * fullBudget;
    const bool mayHaveSpentBefore = m_restartedAt && now < *m_restartedAt + m_limits.window;
    const double nodeBudget
        = mayHaveSpentBefore ? restartBudgetShare * ownShare * fullBudget : std::max(1.0, nodeBudgetFactor * ownShare * budget);
    if (budget <= 0.0 || nodeBudget <= 0.0) {
        return std::numeric_limits<double>::infinity();
    }
    return std::max((retries + 1.0) / budget, (ownCounts.retries + 1.0) / nodeBudget);
}

retry_counts fleet_retry_budget::own(std::string_view service, instant now) const
{
    const auto found = m_rows.find(service);
    return found == m_rows.end() ? retry_counts() : found->second.own.sum(bucketWidth(), now);
}

std::map<std::string, retry_counts> fleet_retry_budget::reportForPeers(instant now) const
{
    std::map<std::string, retry_counts> counts;
    for (const auto &[service, row] : m_rows) {
        const retry_counts total = row.own.sum(bucketWidth(), now);
        if (total.requests + total.retries > 0) {
            counts.emplace(service, total);
        }
    }
    return counts;
}

} // namespace flamingofield
