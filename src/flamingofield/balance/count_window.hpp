#pragma once

#include "core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace flamingofield {

/// Sums of counts over a sliding time, in buckets of equal width. No clock.
/// @tparam Counts counts that add up with +=
template<typename Counts, std::size_t buckets> class count_window
{
public:
    /// Counts of the present bucket, to be raised.
    /// @param width of a bucket
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
