#include "route/forwarding_config.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <cctype>

namespace flamingofield {

std::string normalizedHost(std::string_view host)
{
    const auto colon = host.rfind(':');
    std::string name(colon == std::string_view::npos ? host : host.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

host_router::host_router(const std::vector<forward_route> &routes)
{
    for (const auto &route : routes) {
        m_hosts[normalizedHost(route.host)][route.prefix] = &route;
    }
}

const forward_route *host_router::match(std::string_view host, std::string_view target) const
{
    const auto prefixes = m_hosts.find(normalizedHost(host));
    if (prefixes == m_hosts.end()) {
        return nullptr;
    }
    std::string path(target.substr(0, target.find('?')));
    // Prefixes end with a slash, so only parts of the path that end with a slash can match. The longest one is tried first.
    for (auto slash = path.rfind('/'); slash != std::string::npos; slash = path.rfind('/')) {
        path.resize(slash + 1);
        const auto found = prefixes->second.find(path);
        if (found != prefixes->second.end()) {
            return found->second;
        }
        path.resize(slash);
    }
    return nullptr;
}

std::string_view pickService(const forward_route &route, std::string_view requestId)
{
    double total = 0.0;
    for (const auto &candidate : route.services) {
        total += candidate.weight;
    }
    constexpr double hashRange = 18446744073709551616.0;
    double point = static_cast<double>(hashOf(requestId, hashOf(route.name))) / hashRange * total;
    for (const auto &candidate : route.services) {
        if (candidate.weight > 0.0 && point < candidate.weight) {
            return candidate.service;
        }
        point -= candidate.weight;
    }
    const auto last
        = std::find_if(route.services.rbegin(), route.services.rend(), [](const auto &candidate) { return candidate.weight > 0.0; });
    return last == route.services.rend() ? std::string_view() : std::string_view(last->service);
}

} // namespace flamingofield
