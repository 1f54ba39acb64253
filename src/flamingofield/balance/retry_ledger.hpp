#pragma once

#include "balance/count_window.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace flamingofield {

/// Bound on requests that are sent to a further target, for all nodes together.
struct retry_terms
{
    double ratio = 0.2; ///< Repeats per request, over the window.
    double slack = 50.0; ///< Repeats allowed besides.
    seconds window{10};
};

/// Requests and repeats of one node for one service within the window.
struct retry_counts
{
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;

    retry_counts &operator+=(const retry_counts &other)
    {
        requests += other.requests;
        repeats += other.repeats;
        return *this;
    }
};

/// Nodes that may spend the budget as one node sees it. Hubs hear each other's counts; any other node hears one hub alone and
/// must leave room for all that are in the same place.
std::size_t budgetSharers(bool isHub, std::size_t hubs, std::size_t liveNodes);

/// Fleet-wide budget for repeats, kept by each node from its own counts and those its peers tell.
class retry_ledger
{
public:
    explicit retry_ledger(const retry_terms &terms)
        : m_terms(terms)
    {
    }

    void setTerms(const retry_terms &terms)
    {
        m_terms = terms;
    }

    /// The process has started anew: it may have spent a part of the budget before, and so may all others that start with it.
    void setRestartedAt(instant now)
    {
        m_restartedAt = now;
    }

    void countRequest(std::string_view service, instant now);
    void countRepeat(std::string_view service, instant now);

    /// Takes up a peer's counts for one service.
    void told(std::uint64_t peer, std::string_view service, retry_counts counts, instant now);

    /// True if one more repeat keeps the fleet within the budget, with a margin for what peers spend unheard.
    /// @param nodes nodes that may send repeats at the same time
    bool mayRepeat(std::string_view service, std::size_t nodes, instant now) const;

    /// This node's counts within the window.
    retry_counts own(std::string_view service, instant now) const;

    /// Services with any count.
    std::map<std::string, retry_counts> tell(instant now) const;

private:
    /// Part of the budget that is spent; the rest covers repeats of peers that were not heard of yet.
    static constexpr double spentShare = 0.7;
    static constexpr std::size_t buckets = 10;

    struct service_row
    {
        count_window<retry_counts, buckets> own;
        std::map<std::uint64_t, std::pair<instant, retry_counts>> peers;
    };

    service_row &rowOf(std::string_view service);
    duration bucketWidth() const;

    retry_terms m_terms;
    std::optional<instant> m_restartedAt; ///< Empty if nothing was spent before the start.
    std::map<std::string, service_row, std::less<>> m_rows;
};

} // namespace flamingofield
