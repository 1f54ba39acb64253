#include "store/confirmation.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

/// Covers the delay of messages, by which the time of another reader's confirmation may be too late.
constexpr milliseconds minAdvance{200};

} // namespace

void confirmation::record(confirmation_id own, instant at)
{
    if (!m_at || at > *m_at) {
        m_id = own;
        m_at = at;
    }
}

bool confirmation::recordTold(confirmation_id id, instant at)
{
    if (!isNews(id, at)) {
        return false;
    }
    m_id = id;
    m_at = m_at ? std::max(*m_at, at) : at;
    return true;
}

bool confirmation::isNews(confirmation_id id, instant at) const
{
    if (!m_at) {
        return true;
    }
    if (id.reader != 0 && id.reader == m_id.reader) {
        return static_cast<std::int16_t>(id.number - m_id.number) > 0;
    }
    return id.reader != m_reader && at > *m_at + minAdvance;
}

} // namespace flamingofield
