#pragma once

#include <cstdint>

namespace test_support {

/// Seed of this run; each test derives its own from it.
inline std::uint64_t &testSeed()
{
    static std::uint64_t seed = 1;
    return seed;
}

} // namespace test_support
