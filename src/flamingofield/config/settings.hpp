#pragma once

#include "core/endpoint.hpp"
#include "core/error.hpp"

#include <string>
#include <variant>
#include <vector>

namespace flamingofield {

/// Settings of one entry VM's daemon, from flags and environment variables.
struct settings
{
    endpoint gate; ///< Where callers connect.
    endpoint peer; ///< Where other nodes connect.
    endpoint admin; ///< Metrics and status.
    endpoint advertisedGate; ///< Address that callers are told; the gate unless set.
    endpoint advertisedPeer; ///< Address that other nodes are told; the peer address unless set.
    endpoint platform; ///< Configuration store and VM list.
    std::string dataCentre;
    std::vector<endpoint> seeds; ///< Peers to try besides the VM list.
    std::string secret; ///< Signs messages between nodes; empty for none.
    std::size_t expectedFleet = 44;
    std::size_t threads = 192;
    std::string logLevel = "info";
    bool logJson = false;
};

/// The user asked for help or the version; the text is to be printed.
struct settings_help
{
    std::string text;
};

using parsed_settings = std::variant<settings, settings_help, std::vector<error>>;

/// Parses flags, then environment variables (FLAMINGOD_GATE for --gate) for what no flag sets.
/// @return the settings, a text to print, or every error with the flag as its peer
parsed_settings parseSettings(int argc, const char *const *argv);

} // namespace flamingofield
