#pragma once

#include "balance/count_window.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace flamingofield {

/// Recent request outcomes of one service.
struct recent_outcomes
{
    std::uint32_t served = 0;
    std::uint32_t unserved = 0; ///< Failed or refused.

    recent_outcomes &operator+=(const recent_outcomes &other)
    {
        served += other.served;
        unserved += other.unserved;
        return *this;
    }
};

/// Outcomes of the requests of the last seconds by service, of this node and as reported by its peers.
class outcome_window
{
public:
    void count(std::string_view service, bool wasServed, instant now);

    /// Counts a request that has been running for several times the mean service time as unserved until it ends. Its caller's
    /// timeout may be seconds away, too late for this window.
    void addOverdue(std::string_view service);
    void removeOverdue(std::string_view service);

    /// Replaces the counts that the peer reported before.
    void applyPeerReport(std::uint64_t peer, std::string_view service, recent_outcomes outcomes, instant now);

    /// This node's own counts.
    recent_outcomes own(std::string_view service, instant now) const;

    /// Share of the requests of all nodes that were not served, after subtracting one standard deviation (the square root) from
    /// the count of unserved requests, so that a few chance failures do not count. Zero without requests.
    double unservedShare(std::string_view service, instant now) const;

private:
    /// Three seconds in all: the platform checks over two seconds which targets are used, and reports between nodes need up to
    /// half of that on top.
    static constexpr std::size_t buckets = 12;
    static constexpr milliseconds bucketWidth{250};
    /// Reports older than this are ignored.
    static constexpr milliseconds peerReportLifetime{1300};

    struct peer_outcomes
    {
        instant at{};
        recent_outcomes outcomes;
    };
    struct service_row
    {
        count_window<recent_outcomes, buckets> own;
        std::uint32_t overdue = 0; ///< Requests in flight that are overdue.
        std::map<std::uint64_t, peer_outcomes> peers;
    };

    service_row &rowOf(std::string_view service);

    std::map<std::string, service_row, std::less<>> m_rows;
};

} // namespace flamingofield
