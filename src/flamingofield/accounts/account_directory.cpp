#include "accounts/account_directory.hpp"

#include "core/hash.hpp"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstring>
#include <utility>

namespace flamingofield {

namespace {

constexpr auto step = "read accounts";

/// The name is sent to targets as the value of a header field (RFC 9110, 5.5).
bool isHeaderValue(std::string_view text)
{
    const bool hasControlCharacter = std::any_of(text.begin(), text.end(), [](unsigned char c) { return c < 0x20U || c == 0x7fU; });
    return !text.empty() && text.front() != ' ' && text.back() != ' ' && !hasControlCharacter;
}

bool isQuantity(double value)
{
    return std::isfinite(value) && value >= 0.0;
}

result<void> check(const client_account &account)
{
    if (!isHeaderValue(account.name)) {
        return error{step, "\"" + account.name + "\"", "expected a name without control characters or spaces around it"};
    }
    if (!isQuantity(account.limit.ratePerSecond) || !isQuantity(account.limit.burst)) {
        return error{step, account.name, "expected the rate and the burst to be finite numbers of at least 0"};
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

/// @return nothing if the text is no digest of this size
template<typename Digest> std::optional<Digest> parseDigest(std::string_view text)
{
    Digest digest{};
    if (text.size() != 2 * digest.size()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < digest.size(); ++i) {
        const char *const digits = text.data() + 2 * i;
        const auto parsed = std::from_chars(digits, digits + 2, digest[i], 16);
        if (parsed.ec != std::errc() || parsed.ptr != digits + 2) {
            return std::nullopt;
        }
    }
    return digest;
}

} // namespace

std::size_t account_directory::digest_hash::operator()(const key_digest &digest) const
{
    std::size_t value = 0;
    std::memcpy(&value, digest.data(), sizeof value);
    return value;
}

bool account_directory::digest_equal::operator()(const key_digest &a, const key_digest &b) const
{
    return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

account_directory::key_digest account_directory::digestOf(std::string_view key)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> whole{};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), whole.data());
    key_digest digest{};
    std::copy_n(whole.begin(), digest.size(), digest.begin());
    return digest;
}

result<std::shared_ptr<const account_directory>> account_directory::make(const std::vector<account_definition> &definitions)
{
    auto directory = std::make_shared<account_directory>();
    std::vector<std::pair<std::uint64_t, const account_definition *>> sorted;
    sorted.reserve(definitions.size());
    for (const account_definition &definition : definitions) {
        BOOST_OUTCOME_TRYV(check(definition.account));
        sorted.emplace_back(hashOf(definition.account.name), &definition);
    }
    std::sort(sorted.begin(), sorted.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    directory->m_accounts.reserve(sorted.size());
    for (const auto &[id, sortedDefinition] : sorted) {
        const account_definition &definition = *sortedDefinition;
        const client_account &account = definition.account;
        // Nodes tell each other the usage of accounts by their ids, so two accounts must not share one.
        if (!directory->m_accounts.empty() && directory->m_accounts.back().id == id) {
            const std::string &other = directory->m_accounts.back().name;
            return error{step, account.name,
                         other == account.name ? "the account is listed twice; remove one of them"
                                               : "the name has the same hash as \"" + other + "\"; rename one of them"};
        }
        const auto index = static_cast<std::uint32_t>(directory->m_accounts.size());
        directory->m_accounts.push_back(account);
        directory->m_accounts.back().id = id;
        directory->m_hasLimits = directory->m_hasLimits || account.limit.isLimited();
        BOOST_OUTCOME_TRYV(directory->addKeys(definition, index));
    }
    return std::shared_ptr<const account_directory>(std::move(directory));
}

result<void> account_directory::addKeys(const account_definition &definition, std::uint32_t index)
{
    const std::string &name = definition.account.name;
    std::vector<key_digest> digests;
    for (const std::string &key : definition.keys) {
        if (key.empty()) {
            return error{step, name, "key " + std::to_string(digests.size() + 1) + " is empty; remove it"};
        }
        digests.push_back(digestOf(key));
    }
    for (const std::string &text : definition.keyDigests) {
        const auto digest = parseDigest<key_digest>(text);
        if (!digest) {
            return error{step, name,
                         "expected digest " + std::to_string(digests.size() + 1) + " to have " + std::to_string(2 * key_digest().size())
                             + " hexadecimal digits, got " + std::to_string(text.size()) + " characters"};
        }
        digests.push_back(*digest);
    }
    for (std::size_t i = 0; i < digests.size(); ++i) {
        const auto [entry, isNew] = m_indices.emplace(digests[i], index);
        if (!isNew) {
            return error{step, name,
                         "key " + std::to_string(i + 1) + " is also listed under the account \"" + m_accounts[entry->second].name
                             + "\"; remove it from one of them"};
        }
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::string account_directory::digestText(std::string_view key)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : digestOf(key)) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0xFU]);
    }
    return text;
}

std::vector<std::size_t> account_directory::keysSharedWith(const account_directory &other) const
{
    std::vector<std::size_t> counts(m_accounts.size());
    for (const auto &[digest, index] : m_indices) {
        const auto found = other.m_indices.find(digest);
        if (found != other.m_indices.end() && other.m_accounts[found->second].id == m_accounts[index].id) {
            ++counts[index];
        }
    }
    return counts;
}

const client_account *account_directory::findById(std::uint64_t id) const
{
    const auto found = std::lower_bound(m_accounts.begin(), m_accounts.end(), id,
                                        [](const client_account &account, std::uint64_t wanted) { return account.id < wanted; });
    return found == m_accounts.end() || found->id != id ? nullptr : &*found;
}

const client_account *account_directory::find(std::string_view key) const
{
    if (key.empty()) {
        return nullptr;
    }
    const auto found = m_indices.find(digestOf(key));
    return found == m_indices.end() ? nullptr : &m_accounts[found->second];
}

} // namespace flamingofield
