#include "control/store_schedule.hpp"

#include "core/hash.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

constexpr milliseconds watchLength{8000};
constexpr double vmReadsPerSecond = 100.0; // Of the whole fleet.
constexpr seconds leastVmInterval{10};
constexpr milliseconds readerVmInterval{1000};
constexpr std::uint64_t vmJitterMs = 300;

} // namespace

store_schedule::store_schedule(std::size_t expectedFleet, std::uint64_t seed, instant now)
    : m_expectedFleet(expectedFleet)
    , m_seed(seed)
    , m_nextRead(now + firstReadDelay(expectedFleet, seed))
    , m_nextVmRead(m_nextRead)
{
}

void store_schedule::setRole(read_role role, std::size_t fleetSeen, instant now)
{
    const bool isNewReader = role == read_role::reader && m_role != read_role::reader;
    if (isNewReader) {
        // The next reads were planned for a node that reads rarely.
        m_nextRead = std::min(m_nextRead, now);
        m_nextVmRead = std::min(m_nextVmRead, now);
    }
    m_role = role;
    m_fleetSeen = fleetSeen;
}

std::uint64_t store_schedule::nextSeed()
{
    m_seed = hashOf("seed", m_seed);
    return m_seed;
}

read_plan store_schedule::plan()
{
    const std::size_t fleet = m_role == read_role::starting ? std::max(m_fleetSeen, m_expectedFleet) : m_fleetSeen;
    return planReads(fleet, m_role, m_failures, nextSeed());
}

std::optional<read_order> store_schedule::takeDueRead(std::uint64_t afterRevision, instant now)
{
    if (m_isReading || now < m_nextRead) {
        return std::nullopt;
    }
    m_isReading = true;
    return read_order{afterRevision, plan().mayWatch && m_hasRead ? watchLength : milliseconds(0)};
}

bool store_schedule::noteRead(bool succeeded, instant now)
{
    const bool wasReachable = m_failures == 0;
    m_isReading = false;
    m_hasRead = m_hasRead || succeeded;
    m_failures = succeeded ? 0 : m_failures + 1;
    m_nextRead = now + plan().interval;
    return succeeded != wasReachable;
}

bool store_schedule::takeDueVmRead(instant now)
{
    if (m_isReadingVms || now < m_nextVmRead) {
        return false;
    }
    m_isReadingVms = true;
    return true;
}

void store_schedule::noteVmRead(instant now)
{
    m_isReadingVms = false;
    const std::chrono::duration<double> share(static_cast<double>(m_fleetSeen) / vmReadsPerSecond);
    // Readers pass on what the list says, so that the other nodes need to read it only rarely.
    const duration rare = std::max<duration>(leastVmInterval, std::chrono::duration_cast<duration>(share));
    m_nextVmRead = now + (m_role == read_role::reader ? duration(readerVmInterval) : rare) + milliseconds(nextSeed() % vmJitterMs);
}

} // namespace flamingofield
