#pragma once

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/time.hpp"

#include <memory>
#include <optional>

namespace standins {

/// Faults of a link; may be changed while connections are open.
struct link_faults
{
    bool dropToServer = false; ///< Discards bytes towards the server; connections stay open.
    bool dropToClient = false; ///< Discards bytes towards the client; connections stay open.
    bool refuseConnections = false; ///< Closes new connections immediately.
    bool silenceExisting = false; ///< Discards all bytes of the connections that were open when this was set; new ones work.
    std::optional<std::size_t> closeAfterBytesToClient; ///< Closes a connection after this many bytes towards the client.
    flamingofield::milliseconds delay{0}; ///< Delay of each chunk of bytes, in both directions.
};

/// TCP proxy that injects faults; runs on its own thread.
class fault_proxy
{
public:
    explicit fault_proxy(const flamingofield::endpoint &server);
    ~fault_proxy();
    fault_proxy(const fault_proxy &) = delete;
    fault_proxy &operator=(const fault_proxy &) = delete;

    flamingofield::result<std::uint16_t> start(const flamingofield::endpoint &address);
    void setFaults(const link_faults &faults);

    /// Number of connections accepted so far, including those that were refused.
    std::size_t accepted() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace standins
