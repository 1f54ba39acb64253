#include "outlier/inflight_table.hpp"

namespace flamingofield {

std::uint64_t inflight_table::begin(int service, std::size_t target, std::uint64_t source, instant now)
{
    const std::lock_guard lock(m_mutex);
    const std::uint64_t number = m_nextNumber++;
    m_entries.emplace(number, entry{service, target, source, now, false});
    return number;
}

bool inflight_table::end(std::uint64_t number)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(number);
    const bool wasReported = found->second.isReported;
    m_entries.erase(found);
    return wasReported;
}

std::vector<observation> inflight_table::collectSlow(instant now, const std::function<duration(int service)> &limitOf)
{
    const std::lock_guard lock(m_mutex);
    std::vector<observation> slow;
    for (auto &[number, e] : m_entries) {
        const duration age = now - e.startedAt;
        if (!e.isReported && age > limitOf(e.service)) {
            e.isReported = true;
            slow.push_back({e.service, e.target, observation_kind::slowInFlight, age, now, e.source, false});
        }
    }
    return slow;
}

} // namespace flamingofield
