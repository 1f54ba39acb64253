#include "core/hash.hpp"

#include <xxhash.h>

#include <cmath>
#include <cstdio>
#include <random>

namespace flamingofield {

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

double rendezvousScore(std::string_view key, std::string_view candidate, double weight)
{
    constexpr double range = 18446744073709551616.0; // 2^64
    const std::uint64_t hash = hashOf(candidate, hashOf(key));
    const double uniform = (static_cast<double>(hash) + 0.5) / range;
    return -weight / std::log(uniform);
}

std::string toHex(std::uint64_t value)
{
    char digits[17];
    std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(value));
    return digits;
}

std::uint64_t randomIdentifier()
{
    std::random_device entropy;
    return (static_cast<std::uint64_t>(entropy()) << 32U) ^ entropy();
}

} // namespace flamingofield
