#include "balance/retry_ledger.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

/// What one node may spend of the budget in proportion to its requests. All nodes together then stay below the whole
/// budget even if none hears of the others' repeats in time, since only a part of the budget is spent at all.
constexpr double ownPart = 1.3;

/// Part of the budget spent by nodes that do not know what was spent before their start. All nodes may have started together
/// just after they had spent what they may, so that this and the part spent else must stay below the whole together.
constexpr double restartShare = 0.2;

/// After a start nothing is repeated for this long, in which the nodes hear of each other; before, each takes itself for the
/// only one. Above the lease of a member, several messages long.
constexpr milliseconds settleTime{1500};

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

void retry_ledger::countRepeat(std::string_view service, instant now)
{
    ++rowOf(service).own.at(bucketWidth(), now).repeats;
}

void retry_ledger::told(std::uint64_t peer, std::string_view service, retry_counts counts, instant now)
{
    rowOf(service).peers[peer] = {now, counts};
}

bool retry_ledger::mayRepeat(std::string_view service, std::size_t nodes, instant now) const
{
    const bool isSettling = m_restartedAt && now < *m_restartedAt + settleTime;
    const auto found = m_rows.find(service);
    if (isSettling || found == m_rows.end()) {
        return false;
    }
    const retry_counts mine = found->second.own.sum(bucketWidth(), now);
    double requests = mine.requests;
    double repeats = mine.repeats;
    std::size_t heard = 1;
    for (const auto &[peer, entry] : found->second.peers) {
        if (now - entry.first < m_terms.window) {
            requests += entry.second.requests;
            repeats += entry.second.repeats;
            ++heard;
        }
    }
    const double whole = m_terms.ratio * requests + m_terms.slack;
    // A node that hears nobody must not spend what the others may be spending.
    const double equalShare = 1.0 / static_cast<double>(std::max<std::size_t>(1, nodes));
    const double ownShare = heard >= nodes && requests > 0.0 ? mine.requests / requests : equalShare;
    const double budget = spentShare * whole;
    const bool isForgetful = m_restartedAt && now < *m_restartedAt + m_terms.window;
    const double part = isForgetful ? restartShare * ownShare * whole : std::max(1.0, ownPart * ownShare * budget);
    return repeats + 1.0 <= budget && mine.repeats + 1.0 <= part;
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
