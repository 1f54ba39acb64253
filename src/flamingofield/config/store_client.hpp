#pragma once

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingofield {

/// A configuration's text as read from the store.
struct stored_config
{
    std::uint64_t revision = 0;
    std::string text;
};

/// An entry of the platform's VM list.
struct listed_vm
{
    endpoint address; ///< Peer address of an entry VM, or the address of a target.
    bool isLeaving = false;
};

/// Reads the platform's configuration store and VM list over HTTP; thread-safe, each call blocks until its answer or timeout.
class store_client
{
public:
    explicit store_client(endpoint platform);
    ~store_client();
    store_client(const store_client &) = delete;
    store_client &operator=(const store_client &) = delete;

    /// Reads the configuration if its revision is above the given one.
    /// @param wait how long the store may hold the call until there is a newer one; 0 for a plain read
    /// @return the text, none if there is no newer one, or an error of step "read store"
    result<std::optional<stored_config>> read(std::uint64_t afterRevision, milliseconds wait);

    /// Reads the VM list; entries without a valid address are left out.
    /// @return the list, or an error of step "read store" or "read VM list"
    result<std::vector<listed_vm>> readVms();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace flamingofield
