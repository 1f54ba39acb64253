#pragma once

#include "core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace flamingofield {

/// Sums counts over a sliding window made of buckets of equal width. The caller passes the time.
///
/// @tparam Counts aggregate of counters with operator+=
template<typename Counts, std::size_t buckets> class count_window
{
public:
    /// Returns the counters of the bucket that contains now, for the caller to increment.
    /// @param width width of a bucket; the same in all calls
    Counts &at(duration width, instant now)
    {
        const std::int64_t number = now.time_since_epoch() / width;
        bucket &entry = m_buckets[static_cast<std::size_t>(number) % buckets];
        if (entry.number != number) {
            entry = {number, {}};
        }
        return entry.counts;
    }

    Counts sum(duration width, instant now) const
    {
        Counts total;
        const std::int64_t oldest = now.time_since_epoch() / width - static_cast<std::int64_t>(buckets);
        for (const bucket &entry : m_buckets) {
            if (entry.number > oldest) {
                total += entry.counts;
            }
        }
        return total;
    }

private:
    struct bucket
    {
        std::int64_t number = -1;
        Counts counts;
    };

    std::array<bucket, buckets> m_buckets;
};

} // namespace flamingofield
