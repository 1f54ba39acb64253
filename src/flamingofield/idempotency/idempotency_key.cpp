#include "idempotency/idempotency_key.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace flamingofield {

namespace {

constexpr std::size_t incarnationDigits = 16;
constexpr std::size_t epochDigits = 8;
constexpr std::size_t maxNonceLength = 64;

template<typename Number> bool parseHex(std::string_view digits, std::size_t length, Number &value)
{
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return digits.size() == length && failure == std::errc() && end == digits.data() + digits.size();
}

bool isNonceCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
}

} // namespace

result<idempotency_key> parseIdempotencyKey(std::string_view text)
{
    const auto invalid = [&](const char *reason) { return error{"parse key", std::string(text.substr(0, 100)), reason}; };
    constexpr std::size_t nonceStart = incarnationDigits + epochDigits + 2;
    if (text.size() <= nonceStart || text[incarnationDigits] != '.' || text[nonceStart - 1] != '.') {
        return invalid("expected INCARNATION.EPOCH.NONCE");
    }
    idempotency_key key;
    if (!parseHex(text.substr(0, incarnationDigits), incarnationDigits, key.incarnation)
        || !parseHex(text.substr(incarnationDigits + 1, epochDigits), epochDigits, key.epoch)) {
        return invalid("the incarnation or the epoch is not hexadecimal");
    }
    key.nonce = std::string(text.substr(nonceStart));
    if (key.nonce.size() > maxNonceLength || !std::all_of(key.nonce.begin(), key.nonce.end(), isNonceCharacter)) {
        return invalid("the nonce is not 1 to 64 letters, digits, - or _");
    }
    return key;
}

std::string keyPrefix(std::uint64_t incarnation, std::uint32_t epoch)
{
    char digits[epochDigits + 1];
    std::snprintf(digits, sizeof digits, "%08x", epoch);
    return toHex(incarnation) + "." + digits;
}

std::string toString(const idempotency_key &key)
{
    return keyPrefix(key.incarnation, key.epoch) + "." + key.nonce;
}

} // namespace flamingofield
