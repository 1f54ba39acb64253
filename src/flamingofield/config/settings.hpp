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
    endpoint gate; ///< Listens for callers.
    endpoint peer; ///< Listens for other nodes.
    endpoint admin; ///< Listens for requests of metrics and status.
    endpoint advertisedGate; ///< Address advertised to callers; gate unless set.
    endpoint advertisedPeer; ///< Address advertised to other nodes; peer unless set.
    endpoint platform; ///< Configuration store and VM list.
    std::string dataCentre;
    std::vector<endpoint> seeds; ///< Peers to contact besides those of the VM list.
    std::string secret; ///< Signs messages between nodes; empty for none.
    std::size_t expectedFleet = 44; ///< Number of nodes over which first reads of the store are spread.
    std::size_t threads = 192; ///< Requests served at once.
    std::string logLevel = "info";
    bool logJson = false;
};

/// The user asked for help or the version; the text is to be printed.
struct settings_help
{
    std::string text;
};

using parsed_settings = std::variant<settings, settings_help, std::vector<error>>;

/// Parses flags, and environment variables (FLAMINGOD_GATE for --gate) where a flag is not given.
/// @return the settings, a text to print, or every error with the flag as its peer
parsed_settings parseSettings(int argc, const char *const *argv);

} // namespace flamingofield
