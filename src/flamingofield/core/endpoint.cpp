#include "core/endpoint.hpp"

#include <arpa/inet.h>

#include <charconv>

namespace flamingofield {

std::string toString(const endpoint &e)
{
    return e.host + ":" + std::to_string(e.port);
}

bool isIpv4(std::string_view text)
{
    in_addr parsed{};
    return inet_pton(AF_INET, std::string(text).c_str(), &parsed) == 1;
}

result<endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return error{"parse address", std::string(text), "expected IP:PORT"};
    }
    endpoint parsed;
    parsed.host = std::string(text.substr(0, colon));
    if (!isIpv4(parsed.host)) {
        return error{"parse address", std::string(text), "the host is not an IPv4 address"};
    }
    const auto digits = text.substr(colon + 1);
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), parsed.port);
    if (failure != std::errc() || end != digits.data() + digits.size() || parsed.port == 0) {
        return error{"parse address", std::string(text), "the port is not a number from 1 to 65535"};
    }
    return parsed;
}

} // namespace flamingofield
