#include "gate/request_head.hpp"

#include <algorithm>
#include <cctype>

namespace flamingofield {

namespace {

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

struct body_headers
{
    int lengths = 0;
    int codings = 0;
    bool hasInvalidLength = false;
    bool hasInvalidLine = false;
};

bool isTokenCharacter(char c)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || marks.find(c) != std::string_view::npos;
}

void readHeaderLine(std::string_view line, body_headers &headers)
{
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    if (colon == std::string_view::npos || name.empty() || !std::all_of(name.begin(), name.end(), isTokenCharacter)) {
        headers.hasInvalidLine = true;
        return;
    }
    const std::string lower = lowerCase(name);
    const auto value = trim(line.substr(colon + 1));
    if (lower == "content-length") {
        ++headers.lengths;
        headers.hasInvalidLength = headers.hasInvalidLength || value.empty() || value.size() > 18
            || !std::all_of(value.begin(), value.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
    } else if (lower == "transfer-encoding") {
        ++headers.codings;
        headers.hasInvalidLength = headers.hasInvalidLength || lowerCase(value) != "chunked";
    }
}

head_refused refuse(int status, const char *reason)
{
    return {status, reason};
}

/// Checks "METHOD target HTTP/1.x".
/// @return status 0 if the line is valid
head_refused checkRequestLine(std::string_view line)
{
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    if (first == std::string_view::npos || first == last || first == 0) {
        return refuse(400, "malformed request line");
    }
    const auto method = line.substr(0, first);
    const auto target = line.substr(first + 1, last - first - 1);
    const auto protocol = line.substr(last + 1);
    if (!std::all_of(method.begin(), method.end(), [](unsigned char c) { return std::isupper(c) != 0; })) {
        return refuse(400, "malformed method");
    }
    if (protocol != "HTTP/1.1" && protocol != "HTTP/1.0") {
        return refuse(505, "expected HTTP/1.1");
    }
    if (target.size() > maxTargetBytes) {
        return refuse(414, "the request target is too long");
    }
    const bool isPrintable = std::all_of(target.begin(), target.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f; });
    if (target.empty() || target.front() != '/' || !isPrintable) {
        return refuse(400, "malformed request target");
    }
    return refuse(0, "");
}

} // namespace

head_inspection inspectHead(std::string_view bytes)
{
    const auto end = bytes.substr(0, maxHeadBytes).find("\r\n\r\n");
    if (end == std::string_view::npos) {
        if (bytes.size() >= maxHeadBytes) {
            return refuse(431, "the request head is larger than 16 KB");
        }
        return head_incomplete{};
    }
    std::string_view head = bytes.substr(0, end + 2);
    const auto lineEnd = head.find("\r\n");
    const std::string_view requestLine = head.substr(0, lineEnd);
    const head_refused requestLineError = checkRequestLine(requestLine);
    if (requestLineError.status != 0) {
        return requestLineError;
    }
    body_headers headers;
    head.remove_prefix(lineEnd + 2);
    while (!head.empty()) {
        const auto next = head.find("\r\n");
        readHeaderLine(head.substr(0, next), headers);
        head.remove_prefix(next + 2);
    }
    if (headers.hasInvalidLine) {
        return refuse(400, "malformed header line");
    }
    if (headers.hasInvalidLength || headers.lengths > 1 || headers.codings > 1 || headers.lengths + headers.codings > 1) {
        return refuse(400, "the length of the body is ambiguous");
    }
    const auto method = requestLine.substr(0, requestLine.find(' '));
    const bool hasBodyMethod = method == "POST" || method == "PUT" || method == "PATCH";
    return head_complete{end + 4, hasBodyMethod && headers.lengths + headers.codings == 0};
}

} // namespace flamingofield
