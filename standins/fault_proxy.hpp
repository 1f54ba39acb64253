#pragma once

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/time.hpp"

#include <memory>
#include <optional>

namespace standins {

/// Faults of a link; they may be changed while it carries traffic.
struct link_faults
{
    bool dropToServer = false; ///< Bytes towards the server vanish; connections stay open.
    bool dropToClient = false;
    bool refuse = false; ///< New connections are closed at once.
    bool silenceExisting = false; ///< Connections open when this was set carry nothing more; new ones work.
    std::optional<std::size_t> cutToClientAfter; ///< A connection closes after so many bytes towards the client.
    flamingofield::milliseconds delay{0}; ///< Each way.
};

/// TCP proxy that injects faults, on Boost.Asio with a thread of its own.
class fault_proxy
{
public:
    explicit fault_proxy(const flamingofield::endpoint &server);
    ~fault_proxy();
    fault_proxy(const fault_proxy &) = delete;
    fault_proxy &operator=(const fault_proxy &) = delete;

    flamingofield::result<std::uint16_t> start(const flamingofield::endpoint &address);
    void setFaults(const link_faults &faults);

    /// Connections accepted so far.
    std::size_t accepted() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace standins
