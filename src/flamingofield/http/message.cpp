#include "http/message.hpp"

#include "http/memory_budget.hpp"

#include <ostream> // The next header uses streams without including them.

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>

namespace flamingofield {

namespace {

constexpr std::array<std::string_view, 9> hopByHopNames{
    "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade"};

std::size_t transferSize(const header_fields &fields)
{
    constexpr std::size_t separators = 4; // ": " and CRLF.
    std::size_t bytes = 0;
    for (const auto &[name, value] : fields.all()) {
        bytes += name.size() + value.size() + separators;
    }
    return bytes;
}

void appendFields(std::string &bytes, const header_fields &fields)
{
    for (const auto &[name, value] : fields.all()) {
        bytes.append(name).append(": ").append(value).append("\r\n");
    }
}

bool mayHaveBody(int status)
{
    return status >= 200 && status != 204 && status != 304;
}

} // namespace

http_answer_message errorAnswer(int status, std::string_view reason)
{
    http_answer_message answer;
    answer.status = status;
    answer.fields.add("Content-Type", "application/json");
    answer.body = R"({"error":")" + std::string(reason) + "\"}";
    return answer;
}

bool isSameName(std::string_view a, std::string_view b)
{
    return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

void header_fields::add(std::string_view name, std::string_view value)
{
    m_fields.emplace_back(name, value);
}

void header_fields::set(std::string_view name, std::string_view value)
{
    remove(name);
    add(name, value);
}

void header_fields::remove(std::string_view name)
{
    m_fields.erase(std::remove_if(m_fields.begin(), m_fields.end(), [&](const field &f) { return isSameName(f.first, name); }),
                   m_fields.end());
}

std::string_view header_fields::value(std::string_view name) const
{
    const auto found = std::find_if(m_fields.begin(), m_fields.end(), [&](const field &f) { return isSameName(f.first, name); });
    return found == m_fields.end() ? std::string_view() : std::string_view(found->second);
}

bool header_fields::has(std::string_view name) const
{
    return std::any_of(m_fields.begin(), m_fields.end(), [&](const field &f) { return isSameName(f.first, name); });
}

void header_fields::removeHopByHop()
{
    std::vector<std::string> named;
    for (const auto &[name, value] : m_fields) {
        if (isSameName(name, "Connection")) {
            for (const auto &token : boost::beast::http::token_list(value)) {
                named.emplace_back(token);
            }
        }
    }
    for (const auto &name : named) {
        remove(name);
    }
    for (const auto name : hopByHopNames) {
        remove(name);
    }
}

std::size_t transferSize(const http_request_message &request)
{
    return transferSize(request.fields) + request.target.size() + request.body.size();
}

std::size_t transferSize(const http_answer_message &answer)
{
    return transferSize(answer.fields) + answer.body.size();
}

struct http_body::storage
{
    // The reservation is released after the bytes.
    std::shared_ptr<memory_reservation> reservation;
    std::string bytes;
};

http_body::http_body(std::string bytes, std::shared_ptr<memory_reservation> reservation)
{
    if (!bytes.empty()) {
        m_storage = std::make_shared<const storage>(storage{std::move(reservation), std::move(bytes)});
    }
}

http_body::http_body(const char *bytes)
    : http_body(std::string(bytes))
{
}

const std::string &http_body::text() const
{
    static const std::string none;
    return m_storage == nullptr ? none : m_storage->bytes;
}

void http_body::resize(std::size_t size, char fill)
{
    std::string resized = text().substr(0, size);
    resized.resize(size, fill);
    *this = http_body(std::move(resized));
}

memory_reservation *http_body::reservation() const
{
    return m_storage == nullptr ? nullptr : m_storage->reservation.get();
}

bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string serializeHead(const http_request_message &request)
{
    std::string bytes;
    bytes.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    appendFields(bytes, request.fields);
    const bool declaresLength = !request.body.empty() || (request.method != "GET" && request.method != "HEAD");
    if (declaresLength) {
        bytes.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    }
    return bytes.append("\r\n");
}

std::string serializeHead(const http_answer_message &answer, answer_framing framing)
{
    std::string bytes;
    const auto standard = boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(static_cast<unsigned>(answer.status)));
    bytes.append("HTTP/1.1 ").append(std::to_string(answer.status)).append(" ");
    bytes.append(answer.reason.empty() ? std::string(standard) : answer.reason).append("\r\n");
    appendFields(bytes, answer.fields);
    const bool keepsDeclaredLength = framing.isHeadRequest && answer.fields.has("Content-Length");
    if (mayHaveBody(answer.status) && !keepsDeclaredLength) {
        bytes.append("Content-Length: ").append(std::to_string(answer.body.size())).append("\r\n");
    }
    if (framing.closesConnection) {
        bytes.append("Connection: close\r\n");
    }
    return bytes.append("\r\n");
}

http_body sentBody(const http_answer_message &answer, answer_framing framing)
{
    return framing.isHeadRequest || !mayHaveBody(answer.status) ? http_body() : answer.body;
}

} // namespace flamingofield
