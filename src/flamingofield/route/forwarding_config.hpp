#pragma once

#include "accounts/account_directory.hpp"
#include "config/config_stamp.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace flamingofield {

/// Whether a request may run more than once.
enum class retry_policy {
    idempotent, ///< May be retried after any failure.
    atMostOnce, ///< May be retried only if it certainly did not run.
};

/// A service that receives a part of a route's traffic.
struct weighted_service
{
    std::string service;
    double weight = 1.0; ///< Relative to the route's other services; zero receives no traffic.
};

/// Rule that forwards the requests for one host and path prefix to services.
struct forward_route
{
    std::string name;
    std::string host; ///< Lower case, without a port.
    std::string prefix; ///< Begins and ends with a slash.
    retry_policy retryPolicy = retry_policy::atMostOnce;
    milliseconds timeout{0}; ///< Longest time until a caller gets an answer; zero for none.
    milliseconds latencyObjective{0}; ///< Latency objective, within which an answer has its full value; zero if unknown.
    int attempts = 1; ///< Maximum number of attempts that may have run one request, the first one included.
    int priority = 0; ///< Zero is the most urgent.
    bool isPublic = false; ///< Needs no key of a client account.
    std::vector<weighted_service> services;
};

/// Settings that all targets of a service have in common.
struct service_traits
{
    std::string healthPath;
    int connectionLimit = 0; ///< Connections that one target accepts from all callers together; zero if unknown.
};

/// Limits on the requests and connections of clients.
struct client_limits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 8U << 20U;
    milliseconds headerTimeout{3000};
    milliseconds idleTimeout{15000};
};

/// A version of the routing configuration. A request uses the same version from its arrival to its answer.
struct forwarding_config
{
    config_stamp stamp;
    std::vector<forward_route> routes;
    std::unordered_map<std::string, service_traits> services;
    client_limits limits;
    std::shared_ptr<const account_directory> accounts; ///< Null if requests need no key.
};

/// The form in which hosts of routes and requests are compared: lower case, without a port.
std::string normalizedHost(std::string_view host);

/// Finds routes by host and longest prefix.
class host_router
{
public:
    host_router() = default;

    /// Indexes the routes; the vector must outlive the router.
    explicit host_router(const std::vector<forward_route> &routes);

    /// @param host as in the request, with or without a port
    /// @param target path with or without a query
    /// @return the route with the longest matching prefix, or null
    const forward_route *match(std::string_view host, std::string_view target) const;

private:
    std::unordered_map<std::string, std::unordered_map<std::string, const forward_route *>> m_hosts;
};

/// Picks the service for a request in proportion to the weights.
/// @param requestId hashed to pick, so that the same request always gets the same service
/// @return the service's name, empty if all weights are zero
std::string_view pickService(const forward_route &route, std::string_view requestId);

} // namespace flamingofield
