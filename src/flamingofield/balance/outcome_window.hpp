#pragma once

#include "balance/count_window.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace flamingofield {

/// How requests for one service ended lately.
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

/// Ends of requests by service over the last seconds, of this node and as its peers tell. No network, no clock.
class outcome_window
{
public:
    void count(std::string_view service, bool wasServed, instant now);

    /// Counts a request that runs for several times the usual time as unserved until it ends: callers' time limits are
    /// seconds away, and by then the window would be over.
    void becameOverdue(std::string_view service);
    void overdueEnded(std::string_view service);

    /// Takes up a peer's own counts.
    void told(std::uint64_t peer, std::string_view service, recent_outcomes outcomes, instant now);

    /// This node's own counts.
    recent_outcomes own(std::string_view service, instant now) const;

    /// Part of the requests of all nodes that were not served, less one standard deviation of its count: among few requests
    /// some failures are chance. Zero while there are none.
    double unservedShare(std::string_view service, instant now) const;

private:
    /// The platform judges the use of targets over two seconds; half of that more covers the way of the news.
    static constexpr std::size_t buckets = 12;
    static constexpr milliseconds bucketWidth{250};
    /// Counts of a peer that has been silent for this long are left out.
    static constexpr milliseconds toldLease{1300};

    struct told_outcomes
    {
        instant at{};
        recent_outcomes outcomes;
    };
    struct service_row
    {
        count_window<recent_outcomes, buckets> own;
        std::uint32_t overdue = 0; ///< In flight.
        std::map<std::uint64_t, told_outcomes> peers;
    };

    service_row &rowOf(std::string_view service);

    std::map<std::string, service_row, std::less<>> m_rows;
};

} // namespace flamingofield
