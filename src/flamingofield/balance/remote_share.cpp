#include "balance/remote_share.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace flamingofield {

namespace {

/// Home is short of room from this utilisation of its healthy slots. Below it, even a service with six slots rarely queues.
constexpr double shortUtilisation = 0.8;
/// The work is distributed in this many equal parts.
constexpr int workParts = 20;
/// Work below this many slots gives no reliable utilisation.
constexpr double minWork = 0.5;
/// Lowest cost of leaving the data centre while a price is set; the same as the tie break between equal targets.
constexpr double minRemoteCost = 0.02;
/// Upper bound on the cost in the choice of a target, so that trials of unused targets, which add 1 to the score, take precedence.
constexpr double maxRemoteCost = 0.5;
/// Added while the news is stale and a price is set.
constexpr double staleNewsCost = 0.25;
/// Value lost on a network path that fails: a connection attempt times out after 200 ms, and another target may still be in time.
constexpr double lossCost = 0.5;
/// Used if the latency objective is unknown.
constexpr milliseconds defaultObjective{1000};
/// Fraction of the slots elsewhere that is relied on if news from there is stale.
constexpr double staleCapacityFactor = 0.5;
/// Time constant of the moving averages of the work. A service with four slots at half load has more than 80% of them taken a third of
/// the time, which is no shortage.
constexpr double averageSeconds = 2.0;
/// Time constant with which shares follow the desired ones; longer than reports between data centres take (0.3 s), so that two data
/// centres do not react to the same shortage twice.
constexpr double followSeconds = 0.7;
/// Largest change of a share per second.
constexpr double maxStepPerSecond = 0.3;
/// Shares below this count as none, so that the choice returns to the one without shares.
constexpr double minShare = 0.01;
/// Bound on the requests by which a data centre may fall behind its share, so that a past shortage is not made up for later.
constexpr double maxCredit = 3.0;
/// Weight of the newest request in the moving average of remote requests.
constexpr double newestRemoteWeight = 0.02;
constexpr double bytesPerGigabyte = 1e9;
constexpr double reportedStep = 0.1;
constexpr seconds minReportInterval{1};

bool isStale(const data_centre_state &state)
{
    return !state.isHome && state.age > maxNewsAge;
}

/// Expected wait for one of several slots, in service times (Sakasegawa's approximation of M/M/c), continued linearly near and beyond
/// full utilisation, where no steady state exists.
double expectedWait(double work, double slots)
{
    constexpr double maxUtilisation = 0.97;
    const double utilisation = slots <= 0.0 ? 1e3 : work / slots;
    const double servers = std::max(1.0, slots);
    const double bounded = std::min(utilisation, maxUtilisation);
    const double wait = std::pow(bounded, std::sqrt(2.0 * (servers + 1.0)) - 1.0) / (servers * (1.0 - bounded));
    return wait + std::max(0.0, utilisation - maxUtilisation) * servers;
}

/// One data centre while the work is being distributed.
struct load_row
{
    double slots = 0.0;
    double load = 0.0; ///< Work of others and the work that was placed here so far.
    double costPerRequest = 0.0;
    bool isUsable = true;
    int parts = 0;

    /// Cost that one more part of the work adds, including that of the longer waits of the work that is already here.
    double marginalCost(double part, double waitCost) const
    {
        const double before = load * expectedWait(load, slots);
        const double after = (load + part) * expectedWait(load + part, slots);
        return costPerRequest + waitCost * (after - before) / part;
    }
};

duration objectiveOf(duration objective)
{
    return objective > duration::zero() ? objective : duration(defaultObjective);
}

share_reason remoteReason(const data_centre_state &state, const load_row &row, share_reason homeReason)
{
    if (isStale(state)) {
        return share_reason::staleNews;
    }
    if (homeReason == share_reason::homeHasRoom || row.parts > 0) {
        return homeReason;
    }
    if (row.load >= row.slots) {
        return share_reason::noRoomThere;
    }
    if (state.lossShare > 0.0) {
        return share_reason::lossyLink;
    }
    return state.extraRoundTrip > duration::zero() ? share_reason::slowLink : share_reason::tooCostly;
}

/// Scales the remote shares down to the bound.
void applyBound(std::vector<data_centre_share> &shares, std::size_t home, double maxRemoteShare)
{
    const double remote = 1.0 - shares[home].share;
    if (remote <= maxRemoteShare) {
        return;
    }
    for (std::size_t i = 0; i < shares.size(); ++i) {
        if (i != home && shares[i].share > 0.0) {
            shares[i].share *= maxRemoteShare / remote;
            shares[i].reason = share_reason::bounded;
        }
    }
    shares[home].share = 1.0 - maxRemoteShare;
    shares[home].reason = share_reason::bounded;
}

/// @param elapsed seconds since the last step
double stepTowards(double share, double desired, double elapsed)
{
    const double maxStep = maxStepPerSecond * elapsed;
    const double step = (desired - share) * (1.0 - std::exp(-elapsed / followSeconds));
    const double moved = share + std::clamp(step, -maxStep, maxStep);
    return moved < minShare && desired < share ? 0.0 : moved;
}

std::size_t homeIndex(const std::vector<data_centre_state> &states)
{
    const auto home = std::find_if(states.begin(), states.end(), [](const data_centre_state &each) { return each.isHome; });
    return static_cast<std::size_t>(home - states.begin());
}

/// Work of other data centres at home. Work that is exchanged in both directions is left out: each side takes its own back.
double foreignWorkAtHome(const std::vector<data_centre_state> &states)
{
    return std::accumulate(states.begin(), states.end(), 0.0, [](double sum, const data_centre_state &each) {
        return sum + (each.isHome ? 0.0 : std::max(0.0, each.workAtHome - each.homeWork));
    });
}

} // namespace

std::string_view toText(share_reason reason)
{
    switch (reason) {
    case share_reason::homeHasRoom:
        return "home_has_room";
    case share_reason::homeShort:
        return "home_short";
    case share_reason::homeFull:
        return "home_full";
    case share_reason::staleNews:
        return "stale_news";
    case share_reason::lossyLink:
        return "lossy_link";
    case share_reason::slowLink:
        return "slow_link";
    case share_reason::noRoomThere:
        return "no_room_there";
    case share_reason::tooCostly:
        return "too_costly";
    case share_reason::bounded:
        return "bounded";
    }
    return "";
}

double trafficCost(double transferBytes, const share_settings &settings)
{
    const double price = settings.gigabytePrice;
    return price > 0.0 ? std::max(minRemoteCost, price * transferBytes / bytesPerGigabyte) : assumedRemoteCost;
}

double linkCost(const data_centre_state &state, duration objective, const share_settings &settings)
{
    const double delay = toSeconds(state.extraRoundTrip) / toSeconds(objectiveOf(objective));
    return delay + lossCost * state.lossShare + (settings.gigabytePrice > 0.0 && isStale(state) ? staleNewsCost : 0.0);
}

std::vector<data_centre_share> desiredShares(const std::vector<data_centre_state> &states, const service_traffic &traffic,
                                             const share_settings &settings)
{
    std::vector<data_centre_share> shares;
    for (const data_centre_state &each : states) {
        const share_reason reason = isStale(each) ? share_reason::staleNews : share_reason::homeHasRoom;
        shares.push_back({each.dataCentre, each.isHome ? 1.0 : 0.0, reason, each.age});
    }
    const std::size_t home = homeIndex(states);
    if (home == states.size()) {
        return shares;
    }
    // Requests also wait for a healthy target while others are free; only those that the free slots cannot take show a shortage.
    const double queued = std::max(0.0, traffic.queued - std::max(0.0, states[home].healthySlots - states[home].work));
    const double work = std::accumulate(states.begin(), states.end(), queued,
                                        [](double sum, const data_centre_state &each) { return sum + each.homeWork; });
    const double homeLoad = work + foreignWorkAtHome(states);
    if (work < minWork || homeLoad < shortUtilisation * states[home].healthySlots) {
        return shares;
    }
    const bool isFull = homeLoad >= states[home].healthySlots;
    const share_reason homeReason = isFull ? share_reason::homeFull : share_reason::homeShort;
    std::vector<load_row> rows;
    for (const data_centre_state &each : states) {
        load_row row;
        row.slots = each.healthySlots * (isStale(each) ? staleCapacityFactor : 1.0);
        row.load = each.isHome ? foreignWorkAtHome(states) : std::max(0.0, each.work - each.homeWork);
        row.costPerRequest = each.failureShare
            + (each.isHome ? 0.0 : trafficCost(traffic.transferBytes, settings) + linkCost(each, traffic.objective, settings));
        row.isUsable = each.isHome || (row.slots > 0.0 && (isFull || !isStale(each)));
        rows.push_back(row);
    }
    const double waitCost = toSeconds(traffic.meanServiceTime) / toSeconds(objectiveOf(traffic.objective));
    const double part = work / workParts;
    for (int i = 0; i < workParts; ++i) {
        load_row *best = &rows[home];
        double lowestCost = best->marginalCost(part, waitCost);
        for (load_row &row : rows) {
            const double cost = row.isUsable ? row.marginalCost(part, waitCost) : lowestCost;
            if (cost < lowestCost) {
                lowestCost = cost;
                best = &row;
            }
        }
        best->load += part;
        ++best->parts;
    }
    for (std::size_t i = 0; i < rows.size(); ++i) {
        shares[i].share = static_cast<double>(rows[i].parts) / workParts;
        shares[i].reason = i == home ? homeReason : remoteReason(states[i], rows[i], homeReason);
    }
    if (states[home].slots > 0.0) {
        applyBound(shares, home, settings.maxRemoteShare);
    }
    return shares;
}

std::size_t remote_share::indexOf(std::string_view dataCentre) const
{
    const auto found = std::find_if(m_rows.begin(), m_rows.end(), [&](const row &each) { return each.state.dataCentre == dataCentre; });
    return static_cast<std::size_t>(found - m_rows.begin());
}

std::vector<data_centre_state> remote_share::averaged(std::vector<data_centre_state> states, double newestWeight) const
{
    for (data_centre_state &each : states) {
        const std::size_t known = indexOf(each.dataCentre);
        if (known < m_rows.size()) {
            const data_centre_state &before = m_rows[known].state;
            const auto average = [&](double data_centre_state::*member) {
                each.*member = before.*member + (each.*member - before.*member) * newestWeight;
            };
            average(&data_centre_state::work);
            average(&data_centre_state::homeWork);
            average(&data_centre_state::workAtHome);
        }
    }
    return states;
}

void remote_share::update(const std::vector<data_centre_state> &newStates, const service_traffic &traffic, const share_settings &settings,
                          instant now)
{
    const double elapsed = m_updatedAt == instant{} ? 0.0 : toSeconds(now - m_updatedAt);
    const double newestWeight = m_updatedAt == instant{} ? 1.0 : 1.0 - std::exp(-elapsed / averageSeconds);
    const std::vector<data_centre_state> states = averaged(newStates, newestWeight);
    const double queued = m_traffic.queued + (traffic.queued - m_traffic.queued) * newestWeight;
    m_traffic = traffic;
    m_traffic.queued = queued;
    m_settings = settings;
    m_updatedAt = now;
    const std::size_t home = homeIndex(states);
    if (home == states.size()) {
        return;
    }
    std::vector<data_centre_share> next = desiredShares(states, m_traffic, settings);
    std::vector<row> rows;
    for (std::size_t i = 0; i < next.size(); ++i) {
        const std::size_t known = indexOf(states[i].dataCentre);
        row moved;
        double before = states[i].isHome ? 1.0 : 0.0;
        if (known < m_rows.size()) {
            moved = m_rows[known];
            before = m_shares[known].share;
        } else {
            moved.reported = next[i];
            moved.reported.share = before;
        }
        moved.state = states[i];
        moved.linkCost = linkCost(states[i], m_traffic.objective, settings);
        rows.push_back(std::move(moved));
        next[i].share = stepTowards(before, next[i].share, elapsed);
    }
    m_rows = std::move(rows);
    m_shares = std::move(next);
    const double remote = std::accumulate(m_shares.begin(), m_shares.end(), -m_shares[home].share,
                                          [](double sum, const data_centre_share &each) { return sum + each.share; });
    // Shares that rise and fall at their largest steps may together exceed 1.
    for (data_centre_share &each : m_shares) {
        each.share /= std::max(1.0, remote);
    }
    m_shares[home].share = std::max(0.0, 1.0 - remote);
    m_preferred = preferredRow();
}

std::vector<data_centre_share> remote_share::takeChanges(instant now)
{
    std::vector<data_centre_share> changes;
    for (std::size_t i = 0; i < m_rows.size(); ++i) {
        row &each = m_rows[i];
        const bool hasChanged
            = std::abs(m_shares[i].share - each.reported.share) > reportedStep || m_shares[i].reason != each.reported.reason;
        if (hasChanged && now - each.reportedAt >= minReportInterval) {
            each.reported = m_shares[i];
            each.reportedAt = now;
            changes.push_back(m_shares[i]);
        }
    }
    return changes;
}

std::size_t remote_share::preferredRow() const
{
    std::size_t best = m_rows.size();
    double highest = -2.0 * maxCredit;
    const bool hasHome = hasHomeTargets();
    for (std::size_t i = 0; hasHome && i < m_rows.size(); ++i) {
        const double due = m_rows[i].credit + m_shares[i].share;
        if (m_shares[i].share > 0.0 && due > highest) {
            highest = due;
            best = i;
        }
    }
    return best;
}

double remote_share::distanceTo(std::string_view dataCentre, double transferBytes) const
{
    for (std::size_t i = 0; i < m_rows.size(); ++i) {
        const row &each = m_rows[i];
        if (each.state.dataCentre == dataCentre) {
            const double cost = each.state.isHome ? assumedRemoteCost : trafficCost(transferBytes, m_settings) + each.linkCost;
            return i == m_preferred ? 0.0 : std::min(maxRemoteCost, cost);
        }
    }
    return assumedRemoteCost;
}

bool remote_share::hasHomeTargets() const
{
    return std::any_of(m_rows.begin(), m_rows.end(), [](const row &each) { return each.state.isHome && each.state.slots > 0.0; });
}

bool remote_share::isActive() const
{
    const bool leavesHome
        = std::any_of(m_shares.begin(), m_shares.end(), [](const data_centre_share &each) { return each.share < 1.0 && each.share > 0.0; });
    return m_settings.gigabytePrice > 0.0 || (leavesHome && hasHomeTargets());
}

bool remote_share::isRemoteAllowed() const
{
    return m_settings.maxRemoteShare >= 1.0 || !hasHomeTargets() || m_recentRemote < m_settings.maxRemoteShare;
}

void remote_share::recordChoice(std::string_view dataCentre)
{
    bool isRemote = true;
    for (std::size_t i = 0; i < m_rows.size(); ++i) {
        const bool isChosen = m_rows[i].state.dataCentre == dataCentre;
        isRemote = isRemote && !(isChosen && m_rows[i].state.isHome);
        m_rows[i].credit = std::clamp(m_rows[i].credit + m_shares[i].share - (isChosen ? 1.0 : 0.0), -maxCredit, maxCredit);
    }
    m_recentRemote += ((isRemote ? 1.0 : 0.0) - m_recentRemote) * newestRemoteWeight;
    m_preferred = preferredRow();
}

} // namespace flamingofield
