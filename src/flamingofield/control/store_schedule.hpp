#pragma once

#include "config/read_budget.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <optional>

namespace flamingofield {

/// A read of the store to make.
struct read_order
{
    std::uint64_t afterRevision = 0;
    milliseconds wait{0};
};

/// When this node reads the text and the VM list. Not thread-safe, reads no clock.
class store_schedule
{
public:
    /// @param expectedFleet nodes of the fleet, for the spread of first reads
    /// @param seed for jitter
    store_schedule(std::size_t expectedFleet, std::uint64_t seed, instant now);

    /// Tells what the node is and how many nodes it sees.
    void setRole(read_role role, std::size_t fleetSeen, instant now);

    /// A read of the text that is due; it is then counted as running until its answer is noted.
    std::optional<read_order> takeDueRead(std::uint64_t afterRevision, instant now);

    /// @return true if the store became reachable or unreachable with this answer
    bool noteRead(bool succeeded, instant now);

    /// True once when the VM list should be read.
    bool takeDueVmRead(instant now);

    void noteVmRead(instant now);

private:
    read_plan plan();
    std::uint64_t nextSeed();

    std::size_t m_expectedFleet;
    std::uint64_t m_seed;
    read_role m_role = read_role::starting;
    std::size_t m_fleetSeen = 1;
    bool m_isReading = false;
    bool m_hasRead = false;
    int m_failures = 0;
    instant m_nextRead;
    bool m_isReadingVms = false;
    instant m_nextVmRead;
};

} // namespace flamingofield
