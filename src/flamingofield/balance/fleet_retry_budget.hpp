#pragma once

#include "balance/count_window.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace flamingofield {

/// Limits of the retry budget, which all nodes share.
struct retry_limits
{
    double ratio = 0.2; ///< Retries per request within the window.
    double extraRetries = 50.0; ///< Retries allowed in addition, whatever the number of requests.
    seconds window{10};
};

/// Requests and retries of one node for one service within the window.
struct retry_counts
{
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;

    retry_counts &operator+=(const retry_counts &other)
    {
        requests += other.requests;
        retries += other.retries;
        return *this;
    }
};

/// Number of nodes among which a node divides the retry budget. Hubs receive each other's counts. Any other node receives only those
/// of the hubs of its own data centre, so it assumes that all live nodes are sending retries too.
/// @param hubs ready hubs, this node among them if it is one
/// @param liveNodes other live nodes, without this one
std::size_t nodesSharingRetryBudget(bool isHub, std::size_t hubs, std::size_t liveNodes);

/// Fleet-wide retry budget, which each node computes from its own counts and those that its peers report.
class fleet_retry_budget
{
public:
    explicit fleet_retry_budget(const retry_limits &limits)
        : m_limits(limits)
    {
    }

    void setLimits(const retry_limits &limits)
    {
        m_limits = limits;
    }

    /// Marks a restart of the process: before it, this node and all others that restarted with it may have spent budget within
    /// the window.
    void setRestartedAt(instant now)
    {
        m_restartedAt = now;
    }

    void countRequest(std::string_view service, instant now);
    void countRetry(std::string_view service, instant now);

    /// Replaces the counts that the peer reported before for the service.
    void applyPeerReport(std::uint64_t peer, std::string_view service, retry_counts counts, instant now);

    /// True if one more retry keeps the fleet within the budget, with a margin for retries that peers have not reported yet.
    /// @param nodes number of nodes that may send retries at the same time
    bool isRetryAllowed(std::string_view service, std::size_t nodes, instant now) const;

    /// Share of the usable budget, of the fleet or of this node, that is used after one more retry, with the same margin.
    /// @param nodes number of nodes that may send retries at the same time
    /// @return above 1 if no retry is allowed, infinite if there is no budget
    double usedShare(std::string_view service, std::size_t nodes, instant now) const;

    /// This node's counts within the window.
    retry_counts own(std::string_view service, instant now) const;

    /// This node's counts by service, to be reported to peers; without services whose counts are all zero.
    std::map<std::string, retry_counts> reportForPeers(instant now) const;

private:
    /// Share of the budget that may be spent; the rest covers retries that peers have not reported yet.
    static constexpr double usableBudgetShare = 0.7;
    static constexpr std::size_t buckets = 10;

    struct service_row
    {
        count_window<retry_counts, buckets> own;
        std::map<std::uint64_t, std::pair<instant, retry_counts>> peers;
    };

    service_row &rowOf(std::string_view service);
    duration bucketWidth() const;

    retry_limits m_limits;
    std::optional<instant> m_restartedAt; ///< Empty if nothing was spent before the process started.
    std::map<std::string, service_row, std::less<>> m_rows;
};

} // namespace flamingofield
