#pragma once

#include "accounts/client_account.hpp"
#include "core/error.hpp"

#include <array>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace flamingofield {

/// The client accounts of one configuration, found by their keys. Immutable; holds digests of the keys, not the keys.
class account_directory
{
public:
    /// Checks and indexes the accounts.
    /// @return the directory, or an error of step "read accounts" whose peer is the account; the reason never contains a key
    static result<std::shared_ptr<const account_directory>> make(const std::vector<account_definition> &definitions);

    /// Digest of a key as 32 lower case hexadecimal digits. It stands for the key where the key itself must not be shown.
    static std::string digestText(std::string_view key);

    /// @param key as the client sent it
    /// @return the account that holds the key, or null; valid as long as the directory
    const client_account *find(std::string_view key) const;

    /// @return the account with the id, or null; valid as long as the directory
    const client_account *findById(std::uint64_t id) const;

    /// Counts the keys that both directories list under the same account. Compared with itself, a directory yields its numbers of keys.
    /// @return a number for each of accounts(), in this order
    std::vector<std::size_t> keysSharedWith(const account_directory &other) const;

    /// True if any account has a quota.
    bool hasLimits() const
    {
        return m_hasLimits;
    }

    /// All accounts in the order of their ids.
    const std::vector<client_account> &accounts() const
    {
        return m_accounts;
    }

private:
    /// The first half of the SHA-256 digest: finding a key with the same 128 bits is out of reach, and the tables are smaller.
    using key_digest = std::array<unsigned char, 16>;

    struct digest_hash
    {
        std::size_t operator()(const key_digest &digest) const;
    };
    /// Compares in constant time, so that the time of a look-up tells nothing about stored digests.
    struct digest_equal
    {
        bool operator()(const key_digest &a, const key_digest &b) const;
    };

    static key_digest digestOf(std::string_view key);
    result<void> addKeys(const account_definition &definition, std::uint32_t index);

    std::vector<client_account> m_accounts;
    bool m_hasLimits = false;
    std::unordered_map<key_digest, std::uint32_t, digest_hash, digest_equal> m_indices; ///< Into m_accounts.
};

} // namespace flamingofield
