#include "balance/fleet_retry_budget.hpp"

#include <algorithm>

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

std::size_t budgetSharers(bool isHub, std::size_t hubs, std::size_t liveNodes)
{
    return isHub ? std::max<std::size_t>(1, hubs) : std::max(hubs, liveNodes) + 1;
}

retry_ledger::service_row &retry_ledger::rowOf(std::string_view service)
{
    const auto found = m_rows.find(service);
    return found != m_rows.end() ? found->second : m_rows.emplace(std::string(service), service_row()).first->second;
}

duration retry_ledger::bucketWidth() const
{
    return std::chrono::duration_cast<duration>(m_terms.window) / buckets;
}

void retry_ledger::countRequest(std::string_view service, instant now)
{
    ++rowOf(service).own.at(bucketWidth(), now).requests;
}

void retry_ledger::countRetry(std::string_view service, instant now)
{
    ++rowOf(service).own.at(bucketWidth(), now).repeats;
}

void retry_ledger::told(std::uint64_t peer, std::string_view service, retry_counts counts, instant now)
{
    rowOf(service).peers[peer] = {now, counts};
}

bool retry_ledger::isRetryAllowed(std::string_view service, std::size_t nodes, instant now) const
{
    const bool isInHoldOff = m_restartedAt && now < *m_restartedAt + restartHoldOff;
    const auto found = m_rows.find(service);
    if (isInHoldOff || found == m_rows.end()) {
        return false;
    }
    const retry_counts ownCounts = found->second.own.sum(bucketWidth(), now);
    double requests = ownCounts.requests;
    double retries = ownCounts.repeats;
    std::size_t reportingNodes = 1;
    for (const auto &[peer, entry] : found->second.peers) {
        if (now - entry.first < m_terms.window) {
            requests += entry.second.requests;
            retries += entry.second.repeats;
            ++reportingNodes;
        }
    }
    const double fullBudget = m_terms.ratio * requests + m_terms.slack;
    // Without reports from all nodes the others may be spending their shares, so this node is limited to an equal share.
    const double equalShare = 1.0 / static_cast<double>(std::max<std::size_t>(1, nodes));
    const double ownShare = reportingNodes >= nodes && requests > 0.0 ? ownCounts.requests / requests : equalShare;
    const double budget = usableBudgetShare * fullBudget;
    const bool mayHaveSpentBefore = m_restartedAt && now < *m_restartedAt + m_terms.window;
    const double nodeBudget
        = mayHaveSpentBefore ? restartBudgetShare * ownShare * fullBudget : std::max(1.0, nodeBudgetFactor * ownShare * budget);
    return retries + 1.0 <= budget && ownCounts.repeats + 1.0 <= nodeBudget;
}

retry_counts retry_ledger::own(std::string_view service, instant now) const
{
    const auto found = m_rows.find(service);
    return found == m_rows.end() ? retry_counts() : found->second.own.sum(bucketWidth(), now);
}

std::map<std::string, retry_counts> retry_ledger::tell(instant now) const
{
    std::map<std::string, retry_counts> counts;
    for (const auto &[service, row] : m_rows) {
        const retry_counts total = row.own.sum(bucketWidth(), now);
        if (total.requests + total.repeats > 0) {
            counts.emplace(service, total);
        }
    }
    return counts;
}

} // namespace flamingofield
