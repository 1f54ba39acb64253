#include "control/store_schedule.hpp"

#include "core/hash.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

constexpr milliseconds watchTimeout{8000};
constexpr double fleetVmReadsPerSecond = 100.0;
constexpr seconds minVmReadInterval{10};
constexpr milliseconds readerVmReadInterval{1000};
constexpr std::uint64_t vmReadJitterMs = 300;

} // namespace

store_schedule::store_schedule(std::size_t expectedFleet, std::uint64_t seed, instant now)
    : m_expectedFleet(expectedFleet)
    , m_seed(seed)
    , m_nextRead(now + firstReadDelay(expectedFleet, seed))
    , m_nextVmRead(m_nextRead)
{
}

void store_schedule::setRole(read_role role, std::size_t knownNodes, instant now)
{
    const bool hasBecomeReader = role == read_role::reader && m_role != read_role::reader;
    if (hasBecomeReader) {
        // The next reads were scheduled with the long interval of a node that is not a reader.
        m_nextRead = std::min(m_nextRead, now);
        m_nextVmRead = std::min(m_nextVmRead, now);
    }
    m_role = role;
    m_knownNodes = knownNodes;
}

std::uint64_t store_schedule::nextSeed()
{
    m_seed = hashOf("seed", m_seed);
    return m_seed;
}

read_plan store_schedule::plan()
{
    const std::size_t fleet = m_role == read_role::starting ? std::max(m_knownNodes, m_expectedFleet) : m_knownNodes;
    return planReads(fleet, m_role, m_failures, nextSeed());
}

std::optional<store_read_request> store_schedule::takeDueRead(std::uint64_t afterRevision, instant now)
{
    if (m_isReading || now < m_nextRead) {
        return std::nullopt;
    }
    m_isReading = true;
    return store_read_request{afterRevision, plan().mayWatch && m_hasReadOnce ? watchTimeout : milliseconds(0)};
}

bool store_schedule::recordRead(bool succeeded, instant now)
{
    const bool wasReachable = m_failures == 0;
    m_isReading = false;
    m_hasReadOnce = m_hasReadOnce || succeeded;
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

void store_schedule::recordVmRead(instant now)
{
    m_isReadingVms = false;
    const std::chrono::duration<double> share(static_cast<double>(m_knownNodes) / fleetVmReadsPerSecond);
    // Readers pass on what the list says about targets, so the other nodes need it only rarely.
    const duration nonReaderInterval = std::max<duration>(minVmReadInterval, std::chrono::duration_cast<duration>(share));
    m_nextVmRead = now + (m_role == read_role::reader ? duration(readerVmReadInterval) : nonReaderInterval)
        + milliseconds(nextSeed() % vmReadJitterMs);
}

} // namespace flamingofield
