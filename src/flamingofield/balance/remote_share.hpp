#pragma once

#include "core/time.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace flamingofield {

/// Cost of traffic to another data centre as a share of a request's value, used while no price is set.
constexpr double assumedRemoteCost = 0.06;

/// State of one service in one data centre, as known to the deciding node.
struct data_centre_state
{
    std::string dataCentre;
    bool isHome = false; ///< The data centre of the deciding node.
    double slots = 0.0; ///< Of all targets that are not draining.
    double healthySlots = 0.0; ///< Of the targets that are probably healthy.
    double work = 0.0; ///< Requests in flight at its targets, from all nodes.
    double homeWork = 0.0; ///< The part of it that comes from nodes of the home data centre.
    double workAtHome = 0.0; ///< Requests in flight at home targets that come from nodes of this data centre.
    double failureShare = 0.0; ///< Expected share of failed requests at its healthy targets.
    duration extraRoundTrip{}; ///< Measured round trip beyond that within the home data centre; zero if it is not slow.
    double lossShare = 0.0; ///< Share of its targets' network paths that fail; zero if only a few do.
    duration age{}; ///< Time since the last report of its nodes; duration::max() if there has been none.
};

/// Parameters of one service.
struct service_traffic
{
    duration meanServiceTime{};
    duration objective{}; ///< Latency objective from the arrival to the answer; zero if unknown.
    double transferBytes = 0.0; ///< Mean size of a request and its answer, in bytes.
    double queued = 0.0; ///< Requests that wait for a slot, estimated for all nodes of the home data centre.
};

/// Operator settings.
struct share_settings
{
    double gigabytePrice = 0.0; ///< Price of a gigabyte between data centres, in values of one request; 0 if unset.
    double maxRemoteShare = 1.0; ///< Upper bound on the share that leaves the data centre, 0 to 1.

    /// False if nothing is set: a remote target then has a fixed cost, and no shares are kept.
    bool isSet() const
    {
        return gigabytePrice > 0.0 || maxRemoteShare < 1.0;
    }
};

/// Why a data centre has its share.
enum class share_reason {
    homeHasRoom, ///< The home data centre has room for its own work.
    homeShort, ///< The demand is near the healthy slots of the home data centre.
    homeFull, ///< The demand exceeds the healthy slots of the home data centre.
    staleNews, ///< No recent report from there.
    lossyLink,
    slowLink,
    noRoomThere, ///< Its own healthy slots are taken.
    tooCostly, ///< Sending work there costs more than waiting at home.
    bounded, ///< Limited by maxRemoteShare.
};

/// Name of a reason in metrics and log lines.
std::string_view toText(share_reason reason);

/// Share of the home data centre's work that goes to one data centre.
struct data_centre_share
{
    std::string dataCentre;
    double share = 0.0; ///< 0 to 1; the shares of a service add up to 1.
    share_reason reason = share_reason::homeHasRoom;
    duration age{}; ///< Of the information behind it.
};

/// News older than this is stale; the same time after which a peer's requests in flight are no longer counted.
constexpr milliseconds maxNewsAge{1200};

/// Cost of the traffic of one request to another data centre, as a share of the request's value.
/// @param transferBytes size of the request and its answer in bytes
double trafficCost(double transferBytes, const share_settings &settings);

/// Cost of the delay and the losses of the link to a data centre for one request, as a share of the request's value.
/// @param objective latency objective; zero if unknown
double linkCost(const data_centre_state &state, duration objective, const share_settings &settings);

/// Shares that minimise the cost of the home data centre's work: each small part of the work goes to where it adds the least expected
/// cost of waiting, failures, traffic and delay. All work stays at home unless home is short of room.
/// @return one row for each state, in the same order
std::vector<data_centre_share> desiredShares(const std::vector<data_centre_state> &states, const service_traffic &traffic,
                                             const share_settings &settings);

/// Shares of one service that follow the desired ones in bounded steps, and the choice of a data centre for each request.
class remote_share
{
public:
    /// Moves the shares towards the desired ones.
    /// @param now not before the last call
    void update(const std::vector<data_centre_state> &states, const service_traffic &traffic, const share_settings &settings, instant now);

    /// The present shares, empty before the first update.
    const std::vector<data_centre_share> &shares() const
    {
        return m_shares;
    }

    /// Rows that have moved by more than a tenth or changed their reason since they were last returned, each at most once a second.
    std::vector<data_centre_share> takeChanges(instant now);

    /// Cost of sending the next request to a data centre, as a share of its value; zero for the one whose turn it is.
    /// @param transferBytes size of the request and its answer in bytes
    double distanceTo(std::string_view dataCentre, double transferBytes) const;

    /// True if a price is set, or if work leaves a home data centre that has targets; otherwise the choice is that without shares, as long
    /// as no link is slow or lossy.
    bool isActive() const;

    /// False if the request must not leave the home data centre because maxRemoteShare is reached.
    bool isRemoteAllowed() const;

    /// Records the data centre to which a request was sent, whether the share or something else decided it.
    void recordChoice(std::string_view dataCentre);

private:
    struct row
    {
        data_centre_state state;
        double linkCost = 0.0; ///< See linkCost(); kept, since each choice compares many targets.
        double credit = 0.0; ///< Requests by which its part falls behind its share.
        data_centre_share reported;
        instant reportedAt{};
    };

    /// Row of the data centre whose turn it is; the number of rows if home has no targets, so that all others are alike.
    std::size_t preferredRow() const;
    bool hasHomeTargets() const;

    /// Index of a data centre's row, or the number of rows.
    std::size_t indexOf(std::string_view dataCentre) const;
    /// Replaces the numbers of requests in flight by moving averages.
    std::vector<data_centre_state> averaged(std::vector<data_centre_state> states, double newestWeight) const;

    std::vector<row> m_rows; ///< In the order of m_shares.
    std::vector<data_centre_share> m_shares;
    service_traffic m_traffic;
    share_settings m_settings;
    instant m_updatedAt{};
    std::size_t m_preferred = 0;
    double m_recentRemote = 0.0; ///< Moving average of the share of requests that left the home data centre.
};

} // namespace flamingofield
