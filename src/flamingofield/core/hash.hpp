#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace flamingofield {

/// 64-bit hash; nodes of all releases must get the same value.
std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0);

/// Score of a candidate for a key in weighted rendezvous hashing; the highest score wins.
/// @param weight relative share of the keys, greater than 0
double rendezvousScore(std::string_view key, std::string_view candidate, double weight = 1.0);

/// 16 lower case hexadecimal digits.
std::string toHex(std::uint64_t value);

/// Random 64-bit number from the system's entropy source.
std::uint64_t randomIdentifier();

} // namespace flamingofield
