#include "balance/waiting_line.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace flamingofield {

namespace {

/// Time over which arrivals are averaged; bursts last some seconds.
constexpr double demandMemorySeconds = 2.0;
/// Part of the usual work that must fit into the time left; short requests often finish sooner than the mean.
constexpr double neededWorkShare = 0.5;
/// Each dispatch lowers the weight of earlier ones by this factor.
constexpr double dispatchMemory = 0.98;

} // namespace

void waiting_line::arrived(int rank, duration usualWork, instant now)
{
    const double slots = demandOf(rank, now);
    demand &entry = m_demand[rank];
    entry.slots = slots + toSeconds(usualWork) / demandMemorySeconds;
    entry.updated = now;
}

double waiting_line::demandOf(int rank, instant now) const
{
    const auto found = m_demand.find(rank);
    if (found == m_demand.end()) {
        return 0.0;
    }
    return found->second.slots * std::exp(-std::max(0.0, toSeconds(now - found->second.updated)) / demandMemorySeconds);
}

void waiting_line::push(const waiting_request &request)
{
    const auto later
        = [](const waiting_request &a, const waiting_request &b) { return a.rank != b.rank ? a.rank < b.rank : a.arrivedAt < b.arrivedAt; };
    m_waiting.insert(std::upper_bound(m_waiting.begin(), m_waiting.end(), request, later), request);
}

void waiting_line::remove(std::uint64_t id)
{
    const auto found = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const auto &request) { return request.id == id; });
    if (found != m_waiting.end()) {
        m_waiting.erase(found);
    }
}

std::vector<std::uint64_t> waiting_line::order() const
{
    double total = 0.0;
    for (const auto &[rank, count] : m_dispatched) {
        total += count;
    }
    const auto isBelowShare = [&](int rank) {
        const auto found = m_dispatched.find(rank);
        return (found == m_dispatched.end() ? 0.0 : found->second) < guaranteedShare * total;
    };
    std::vector<std::uint64_t> ids;
    // One request of each rank below its share goes first, then all by rank and arrival.
    int previous = -1;
    for (const auto &request : m_waiting) {
        if (request.rank != previous && isBelowShare(request.rank)) {
            ids.push_back(request.id);
        }
        previous = request.rank;
    }
    const std::size_t favoured = ids.size();
    for (const auto &request : m_waiting) {
        if (std::find(ids.begin(), ids.begin() + static_cast<std::ptrdiff_t>(favoured), request.id)
            == ids.begin() + static_cast<std::ptrdiff_t>(favoured)) {
            ids.push_back(request.id);
        }
    }
    return ids;
}

void waiting_line::dispatched(int rank)
{
    for (auto &[known, count] : m_dispatched) {
        count *= dispatchMemory;
    }
    m_dispatched[rank] += 1.0;
}

std::vector<std::uint64_t> waiting_line::takeHopeless(instant now)
{
    std::vector<std::uint64_t> ids;
    const auto isHopeless = [&](const waiting_request &request) {
        const auto needed = std::chrono::duration_cast<duration>(request.usualWork * neededWorkShare);
        return request.giveUpAt - now < needed;
    };
    for (const auto &request : m_waiting) {
        if (isHopeless(request)) {
            ids.push_back(request.id);
        }
    }
    m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(), isHopeless), m_waiting.end());
    return ids;
}

duration waiting_line::expectedWait(int rank, const service_capacity &capacity, instant now) const
{
    double ahead = 0.0;
    for (const auto &request : m_waiting) {
        ahead += request.rank <= rank ? toSeconds(request.usualWork) : 0.0;
    }
    double urgent = 0.0;
    for (const auto &[other, entry] : m_demand) {
        urgent += other < rank ? demandOf(other, now) : 0.0;
    }
    const double own = std::max(0.25, capacity.slots * capacity.share);
    const double left = std::max(own * guaranteedShare, own - urgent);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(ahead / left));
}

int waiting_line::reservedSlots(int rank, const service_capacity &capacity, instant now) const
{
    double urgent = 0.0;
    for (const auto &[other, entry] : m_demand) {
        urgent += other < rank ? demandOf(other, now) : 0.0;
    }
    if (urgent <= 0.0 || capacity.share <= 0.0) {
        return 0;
    }
    // Arrivals scatter by about the root of their mean; the slots in use by them are busy already.
    const double fleet = urgent / capacity.share;
    const double most = 0.2 * capacity.slots;
    return static_cast<int>(std::min(most, std::sqrt(fleet)));
}

} // namespace flamingofield
