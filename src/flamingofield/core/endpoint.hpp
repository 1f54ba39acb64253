#pragma once

#include "core/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace flamingofield {

/// IPv4 address and port.
struct endpoint
{
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const endpoint &other) const
    {
        return port == other.port && host == other.host;
    }
};

/// "host:port".
std::string toString(const endpoint &e);

/// Parses "a.b.c.d:port"; names are not resolved.
/// @return the endpoint, or an error of step "parse address" with the text as its peer
result<endpoint> parseEndpoint(std::string_view text);

/// True for four decimal numbers up to 255 joined by dots.
bool isIpv4(std::string_view text);

} // namespace flamingofield
