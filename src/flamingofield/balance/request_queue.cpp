#include "balance/request_queue.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace flamingofield {

namespace {

/// Time constant of the average over arrivals; bursts last some seconds.
constexpr double demandDecaySeconds = 2.0;
/// Minimum time left for a queued request, as a multiple of the mean service time; many requests take less than the mean.
constexpr double minTimeLeftForQueued = 0.5;
/// Each dispatch lowers the weight of earlier ones by this factor.
constexpr double dispatchDecay = 0.98;
/// Minimum of this node's estimated slots; keeps the expected wait finite.
constexpr double minOwnSlots = 0.25;
/// Maximum share of the service's slots that is reserved for more urgent requests.
constexpr double maxReservedShare = 0.2;

} // namespace

void request_queue::recordArrival(int priority, duration meanServiceTime, instant now)
{
    const double slots = demandOf(priority, now);
    demand &entry = m_demand[priority];
    entry.slots = slots + toSeconds(meanServiceTime) / demandDecaySeconds;
    entry.updated = now;
}

double request_queue::demandOf(int priority, instant now) const
{
    const auto found = m_demand.find(priority);
    if (found == m_demand.end()) {
        return 0.0;
    }
    return found->second.slots * std::exp(-std::max(0.0, toSeconds(now - found->second.updated)) / demandDecaySeconds);
}

void request_queue::push(const queue_entry &request)
{
    const auto comesBefore = [](const queue_entry &a, const queue_entry &b) {
        return a.priority != b.priority ? a.priority < b.priority : a.arrivedAt < b.arrivedAt;
    };
    m_entries.insert(std::upper_bound(m_entries.begin(), m_entries.end(), request, comesBefore), request);
}

void request_queue::remove(std::uint64_t id)
{
    const auto found = std::find_if(m_entries.begin(), m_entries.end(), [&](const auto &request) { return request.id == id; });
    if (found != m_entries.end()) {
        m_entries.erase(found);
    }
}

std::vector<std::uint64_t> request_queue::dispatchOrder() const
{
    double total = 0.0;
    for (const auto &[priority, count] : m_dispatchCounts) {
        total += count;
    }
    const auto isBelowShare = [&](int priority) {
        const auto found = m_dispatchCounts.find(priority);
        return (found == m_dispatchCounts.end() ? 0.0 : found->second) < guaranteedShare * total;
    };
    const std::vector<int> turn = turns();
    std::vector<std::size_t> order(m_entries.size());
    std::iota(order.begin(), order.end(), std::size_t(0));
    // The entries are sorted by priority and arrival, so equal turns keep the order of arrival.
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return m_entries[a].priority != m_entries[b].priority ? m_entries[a].priority < m_entries[b].priority : turn[a] < turn[b];
    });
    std::vector<std::uint64_t> ids;
    // One request of each priority that is below its guaranteed share goes first, then all by priority and turn.
    int previous = -1;
    for (const std::size_t index : order) {
        const queue_entry &request = m_entries[index];
        if (request.priority != previous && isBelowShare(request.priority)) {
            ids.push_back(request.id);
        }
        previous = request.priority;
    }
    const std::size_t favoured = ids.size();
    for (const std::size_t index : order) {
        const queue_entry &request = m_entries[index];
        if (std::find(ids.begin(), ids.begin() + static_cast<std::ptrdiff_t>(favoured), request.id)
            == ids.begin() + static_cast<std::ptrdiff_t>(favoured)) {
            ids.push_back(request.id);
        }
    }
    return ids;
}

void request_queue::recordDispatch(int priority)
{
    for (auto &[known, count] : m_dispatchCounts) {
        count *= dispatchDecay;
    }
    m_dispatchCounts[priority] += 1.0;
}

void request_queue::recordStart(std::uint64_t account)
{
    ++m_slotsInUse[account];
}

void request_queue::recordEnd(std::uint64_t account)
{
    const auto found = m_slotsInUse.find(account);
    if (found != m_slotsInUse.end() && --found->second <= 0) {
        m_slotsInUse.erase(found);
    }
}

int request_queue::slotsOf(std::uint64_t account) const
{
    const auto found = m_slotsInUse.find(account);
    return found == m_slotsInUse.end() ? 0 : found->second;
}

std::vector<int> request_queue::turns() const
{
    std::vector<int> turns;
    turns.reserve(m_entries.size());
    std::unordered_map<std::uint64_t, int> next;
    int priority = 0;
    for (const queue_entry &request : m_entries) {
        if (request.priority != priority) {
            next.clear();
            priority = request.priority;
        }
        turns.push_back(next.try_emplace(request.account, slotsOf(request.account)).first->second++);
    }
    return turns;
}

std::optional<std::uint64_t> request_queue::replaceableFor(std::uint64_t account) const
{
    std::unordered_map<std::uint64_t, int> places;
    for (const queue_entry &request : m_entries) {
        ++places[request.account];
    }
    const auto most = std::max_element(places.begin(), places.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    const auto own = places.find(account);
    if (most == places.end() || most->second < (own == places.end() ? 0 : own->second) + 2) {
        return std::nullopt;
    }
    const auto last
        = std::find_if(m_entries.rbegin(), m_entries.rend(), [&](const queue_entry &request) { return request.account == most->first; });
    return last->id;
}

std::vector<std::uint64_t> request_queue::takeUnservable(instant now)
{
    std::vector<std::uint64_t> ids;
    const auto isUnservable = [&](const queue_entry &request) {
        const auto needed = std::chrono::duration_cast<duration>(request.meanServiceTime * minTimeLeftForQueued);
        return request.deadline - now < needed;
    };
    for (const auto &request : m_entries) {
        if (isUnservable(request)) {
            ids.push_back(request.id);
        }
    }
    m_entries.erase(std::remove_if(m_entries.begin(), m_entries.end(), isUnservable), m_entries.end());
    return ids;
}

duration request_queue::expectedWait(const queue_place &place, const service_capacity &capacity, instant now) const
{
    const std::vector<int> turn = turns();
    const auto earlierPlaces = std::count_if(m_entries.begin(), m_entries.end(), [&](const queue_entry &request) {
        return request.priority == place.priority && request.account == place.account;
    });
    const int ownTurn = slotsOf(place.account) + static_cast<int>(earlierPlaces);
    double ahead = 0.0;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const queue_entry &request = m_entries[i];
        const bool isAhead = request.priority < place.priority || (request.priority == place.priority && turn[i] <= ownTurn);
        ahead += isAhead ? toSeconds(request.meanServiceTime) : 0.0;
    }
    double urgent = 0.0;
    for (const auto &[other, entry] : m_demand) {
        urgent += other < place.priority ? demandOf(other, now) : 0.0;
    }
    // Service time of the requests ahead, divided by the slots that the demand of more urgent priorities leaves.
    const double own = std::max(minOwnSlots, capacity.slots * capacity.share);
    const double left = std::max(own * guaranteedShare, own - urgent);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(ahead / left));
}

int request_queue::reservedSlots(int priority, const service_capacity &capacity, instant now) const
{
    double urgent = 0.0;
    for (const auto &[other, entry] : m_demand) {
        urgent += other < priority ? demandOf(other, now) : 0.0;
    }
    if (urgent <= 0.0 || capacity.share <= 0.0) {
        return 0;
    }
    // The number of urgent requests in flight varies by about the square root of its mean (Poisson); the mean itself occupies
    // slots already.
    const double urgentInFleet = urgent / capacity.share;
    const double maxReserved = maxReservedShare * capacity.slots;
    return static_cast<int>(std::min(maxReserved, std::sqrt(urgentInFleet)));
}

} // namespace flamingofield
