#pragma once

#include <algorithm>
#include <cstddef>

namespace flamingofield {

/// Bound on the memory of all answers that are being received at the same time. Backend servers in trouble may send bytes without end,
/// on many connections at once.
class answer_memory
{
public:
    /// Bytes of each answer that are not counted, so that usual answers are received whatever others take.
    static constexpr std::size_t freeBytes = 64U << 10U;

    explicit answer_memory(std::size_t limit)
        : m_limit(limit)
    {
    }

    /// Reserves bytes for one more part of an answer.
    /// @return false if all answers together would take more than the limit; then nothing is reserved
    bool reserve(std::size_t bytes)
    {
        if (bytes > m_limit - m_reserved) {
            return false;
        }
        m_reserved += bytes;
        return true;
    }

    void release(std::size_t bytes)
    {
        m_reserved -= std::min(bytes, m_reserved);
    }

    std::size_t reserved() const
    {
        return m_reserved;
    }

private:
    std::size_t m_limit;
    std::size_t m_reserved = 0;
};

} // namespace flamingofield
