#pragma once

#include <cstddef>

namespace flamingofield {

/// Makes the allocator map each block above 128 KiB separately for the whole life of the process. Its own limit rises with the largest
/// block that was freed, after which large bodies would fragment the heap and stay resident. To be called once, before any other thread.
void setAllocatorLimits();

/// @return resident memory of the process in bytes, 0 if it is not known
std::size_t residentBytes();

/// Returns memory that the allocator keeps to the kernel once the memory held for others has dropped well below its peak.
class memory_return
{
public:
    /// To be called about once a second.
    /// @param peak most bytes held for others at a time since the last call
    /// @param reserved bytes held for others at present
    /// @return true if memory was returned
    bool update(std::size_t peak, std::size_t reserved);

private:
    std::size_t m_peak = 0; ///< Since the last return.
};

} // namespace flamingofield
