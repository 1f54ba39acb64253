#include "edge/allocator.hpp"

#include <algorithm>
#include <fstream>
#include <malloc.h>
#include <unistd.h>

namespace flamingofield {

namespace {

constexpr int largeBlockBytes = 128 << 10;
/// Smaller drops are usual and not worth the call, which visits all free blocks.
constexpr std::size_t returnedDrop = 16U << 20U;

} // namespace

void setAllocatorLimits()
{
    mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    mallopt(M_TRIM_THRESHOLD, largeBlockBytes);
}

std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm"); // Pages: all that is mapped, then what is resident.
    std::size_t mapped = 0;
    std::size_t resident = 0;
    file >> mapped >> resident;
    return file ? resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) : 0;
}

bool memory_return::update(std::size_t peak, std::size_t reserved)
{
    m_peak = std::max(m_peak, peak);
    if (m_peak - reserved < returnedDrop) {
        return false;
    }
    m_peak = reserved;
    malloc_trim(0);
    return true;
}

} // namespace flamingofield
