#include "config/read_plan.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

constexpr double nonReaderReadsPerSecond = 150.0; // Total of all nodes that are not readers.
constexpr double firstReadsPerSecond = 500.0; // Total of all nodes when the whole fleet restarts.
constexpr milliseconds minNonReaderInterval{10000};
constexpr milliseconds minStartingInterval{1500};
constexpr milliseconds readerInterval{250};
constexpr milliseconds firstBackoff{500};
constexpr milliseconds maxBackoff{15000};
constexpr int maxBackoffDoublings = 6;

/// Scales a duration by 0.5 to 1.5.
duration jitter(duration base, std::uint64_t seed)
{
    const double factor = 0.5 + static_cast<double>(seed % 1024) / 1024.0;
    return std::chrono::duration_cast<duration>(base * factor);
}

} // namespace

read_plan planReads(std::size_t fleetSize, read_role role, int failures, std::uint64_t seed)
{
    const bool isReader = role == read_role::reader;
    const bool isStarting = role == read_role::starting;
    const std::chrono::duration<double> share(static_cast<double>(fleetSize)
                                              / (isStarting ? firstReadsPerSecond : nonReaderReadsPerSecond));
    const duration least = isStarting ? minStartingInterval : minNonReaderInterval;
    duration interval = isReader ? duration(readerInterval) : std::max<duration>(least, std::chrono::duration_cast<duration>(share));
    if (failures > 0) {
        const auto backoff = std::min<duration>(firstBackoff * (1 << std::min(failures - 1, maxBackoffDoublings)), maxBackoff);
        interval = std::max<duration>(interval, backoff);
    }
    return {isReader && failures == 0, jitter(interval, seed)};
}

duration firstReadDelay(std::size_t expectedFleetSize, std::uint64_t seed)
{
    const std::chrono::duration<double> spread(static_cast<double>(expectedFleetSize) / firstReadsPerSecond);
    return std::chrono::duration_cast<duration>(spread * (static_cast<double>(seed % 1024) / 1024.0));
}

} // namespace flamingofield
