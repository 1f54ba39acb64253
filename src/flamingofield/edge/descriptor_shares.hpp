#pragma once

#include <cstddef>

namespace flamingofield {

/// Largest number of connections that each listener of a node accepts at a time, as parts of the process's descriptors.
struct descriptor_shares
{
    /// @param fileDescriptors descriptors that the process may have open. Five eighths are for clients, one eighth for callers of the
    /// directory and for peers, one thirty-second for readiness probes and the metrics page. What is left, at least a fifth, is for
    /// connections to targets, peers and the store, and for files.
    explicit descriptor_shares(std::size_t fileDescriptors);

    std::size_t clients;
    std::size_t directory;
    std::size_t peers;
    std::size_t readiness;
    std::size_t metrics;
};

} // namespace flamingofield
