#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

namespace flamingofield {

/// Counters of a node that are not kept by service.
enum class counter {
    requestsForwarded,
    requestsRelayed,
    retriesSent,
    observationsDropped,
    silentConnections,
    ejections,
    readmissions,
    ejectionsDeniedByFloor,
    ejectionsDeniedByPath,
    pausesDetected,
    peerMessagesSent,
    peerMessagesReceived,
    peerBytesSent,
    peerBytesReceived,
    peerMessagesRejected,
    storeReads,
    storeFailures,
    configAccepted,
    configInvalid,
    configStale,
    configConflict,
    membersSuspected,
    membersLost,
    count
};

/// Name of a counter on the metrics page, without its prefix.
const char *toString(counter c);

/// Values of all counters; thread-safe.
class counter_table
{
public:
    void add(counter c, std::uint64_t amount = 1)
    {
        m_values[static_cast<std::size_t>(c)].fetch_add(amount, std::memory_order_relaxed);
    }

    std::uint64_t value(counter c) const
    {
        return m_values[static_cast<std::size_t>(c)].load(std::memory_order_relaxed);
    }

private:
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(counter::count)> m_values{};
};

} // namespace flamingofield
