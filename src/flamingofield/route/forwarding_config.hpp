#pragma once

#include "config/config_stamp.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace flamingofield {

/// Whether a request may run more than once.
enum class repeat_policy {
    idempotent, ///< May run again after any failure.
    atMostOnce, ///< May be sent again only if it certainly did not run.
};

/// One part of a route's traffic.
struct weighted_service
{
    std::string service;
    double weight = 1.0; ///< Relative to the other parts; zero takes no traffic.
};

/// Rule that sends the requests of one host below a path prefix to services.
struct forward_route
{
    std::string name;
    std::string host; ///< Lower case, without a port.
    std::string prefix; ///< Begins and ends with a slash.
    repeat_policy repeats = repeat_policy::atMostOnce;
    milliseconds timeout{0}; ///< Longest time a caller is kept waiting; zero for none.
    milliseconds aim{0}; ///< Time within which an answer is fully useful; zero if unknown.
    int attempts = 1; ///< Most targets to which one request may be sent.
    int rank = 0; ///< Urgency, zero first.
    std::vector<weighted_service> services;
};

/// What a service's targets have in common.
struct service_traits
{
    std::string healthPath;
    int connectionLimit = 0; ///< Connections that one target accepts from all callers together; zero if unknown.
};

/// Bounds on what a client may send.
struct client_limits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 8U << 20U;
    milliseconds headerTimeout{3000};
    milliseconds idleTimeout{15000};
};

/// One configuration of routes, as a request sees it from its start to its end.
struct forwarding_config
{
    config_stamp stamp;
    std::vector<forward_route> routes;
    std::unordered_map<std::string, service_traits> services;
    client_limits limits;
};

/// Finds routes by host and longest prefix.
class host_router
{
public:
    host_router() = default;

    /// Indexes the routes; the vector must outlive the router.
    explicit host_router(const std::vector<forward_route> &routes);

    /// @param host as in the request, with or without a port
    /// @param target path with or without a query
    /// @return the route with the longest prefix that begins the path, or null
    const forward_route *match(std::string_view host, std::string_view target) const;

private:
    std::unordered_map<std::string, std::unordered_map<std::string, const forward_route *>> m_hosts;
};

/// Picks the part of a route's traffic to which a request belongs, in proportion to the weights.
/// @param requestId decides the pick, so that a repeated look-up gives the same part
/// @return the service's name, empty if all weights are zero
std::string_view pickService(const forward_route &route, std::string_view requestId);

} // namespace flamingofield
