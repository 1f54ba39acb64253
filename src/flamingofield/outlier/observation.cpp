#include "outlier/observation.hpp"

namespace flamingofield {

bool observation_queue::push(const observation &o)
{
    const std::lock_guard lock(m_mutex);
    if (m_items.size() >= m_capacity) {
        return false;
    }
    m_items.push_back(o);
    return true;
}

std::vector<observation> observation_queue::drain()
{
    const std::lock_guard lock(m_mutex);
    std::vector<observation> items;
    items.swap(m_items);
    return items;
}

} // namespace flamingofield
