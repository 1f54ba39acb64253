#pragma once

#include "core/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace flamingofield {

/// Identifies a request, the only process that may execute it, and when the key was issued.
struct idempotency_key
{
    std::uint64_t incarnation = 0; ///< Of the process; the caller chooses one from the list of addresses.
    std::uint32_t epoch = 0; ///< Seconds since that process started, from the list of addresses.
    std::string nonce; ///< Chosen by the caller; 1 to 64 of A-Z a-z 0-9 - _

    bool operator==(const idempotency_key &other) const
    {
        return incarnation == other.incarnation && epoch == other.epoch && nonce == other.nonce;
    }
};

/// Parses "INCARNATION.EPOCH.NONCE" (16 and 8 hexadecimal digits).
/// @return the key, or an error of step "parse key"
result<idempotency_key> parseIdempotencyKey(std::string_view text);

/// Formats "INCARNATION.EPOCH"; the caller appends "." and its nonce.
std::string keyPrefix(std::uint64_t incarnation, std::uint32_t epoch);

/// Formats "INCARNATION.EPOCH.NONCE".
std::string toString(const idempotency_key &key);

} // namespace flamingofield
