#include "soak/soak_record.hpp"

#include <algorithm>

namespace soak {

void disturbance_log::begin(subject affected, instant at)
{
    const std::lock_guard lock(m_mutex);
    m_spans[affected].push_back({at, instant::max()});
}

void disturbance_log::end(subject affected, instant at)
{
    const std::lock_guard lock(m_mutex);
    for (auto &each : m_spans[affected]) {
        each.end = std::min(each.end, at);
    }
}

bool disturbance_log::isDisturbed(subject affected, instant from, instant to) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_spans.find(affected);
    return found != m_spans.end()
        && std::any_of(found->second.begin(), found->second.end(), [&](const span &each) { return each.begin <= to && each.end >= from; });
}

bool disturbance_log::isAnyDisturbed(subject_kind kind, instant from, instant to) const
{
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_spans.begin(), m_spans.end(), [&](const auto &entry) {
        return entry.first.kind == kind && std::any_of(entry.second.begin(), entry.second.end(), [&](const span &each) {
                   return each.begin <= to && each.end >= from;
               });
    });
}

} // namespace soak
