#pragma once

#include "config/read_plan.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <optional>

namespace flamingofield {

/// Arguments of a read of the configuration from the store.
struct store_read_request
{
    std::uint64_t afterRevision = 0;
    milliseconds wait{0}; ///< How long the store may hold the call; 0 for a plain read.
};

/// Decides when this node reads the configuration and the VM list. Not thread-safe, reads no clock.
class store_schedule
{
public:
    /// @param expectedFleet nodes of the fleet, for the spread of first reads
    /// @param seed for jitter
    store_schedule(std::size_t expectedFleet, std::uint64_t seed, instant now);

    /// Sets the role of this node and the number of nodes that it knows, itself among them.
    void setRole(read_role role, std::size_t knownNodes, instant now);

    /// A read of the configuration that is due; it counts as running until recordRead is called.
    std::optional<store_read_request> takeDueRead(std::uint64_t afterRevision, instant now);

    /// Records the end of a read of the configuration and schedules the next.
    /// @return true if the store became reachable or unreachable with this result
    bool recordRead(bool succeeded, instant now);

    /// Whether a read of the VM list is due; it counts as running until recordVmRead is called.
    bool takeDueVmRead(instant now);

    /// Records the end of a read of the VM list and schedules the next.
    void recordVmRead(instant now);

private:
    read_plan plan();
    std::uint64_t nextSeed();

    std::size_t m_expectedFleet;
    std::uint64_t m_seed;
    read_role m_role = read_role::starting;
    std::size_t m_knownNodes = 1;
    bool m_isReading = false;
    bool m_hasReadOnce = false;
    int m_failures = 0;
    instant m_nextRead;
    bool m_isReadingVms = false;
    instant m_nextVmRead;
};

} // namespace flamingofield
