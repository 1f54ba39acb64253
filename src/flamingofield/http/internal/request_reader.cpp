#include "http/internal/request_reader.hpp"

#include "http/internal/chunk_extensions.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <utility>

namespace flamingofield {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t readSize = 8192;
/// Size of the read for the first bytes of a request, which an idle connection keeps allocated. Most heads fit into it.
constexpr std::size_t idleReadSize = 2048;

request_refusal refusalFor(error_code failure)
{
    if (failure == http::error::header_limit) {
        return {431, "the header is too long"};
    }
    if (failure == http::error::body_limit) {
        return {413, "the body is too long"};
    }
    return {400, "not a sound HTTP request"};
}

} // namespace

request_reader::request_reader(std::shared_ptr<memory_budget> memory)
    : m_memory(std::move(memory))
    , m_headMemory(std::make_shared<memory_reservation>(m_memory, memory_kind::head, instant{}))
{
}

void request_reader::onEvict(std::function<void()> handler)
{
    m_onEvict = std::move(handler);
}

boost::asio::mutable_buffer request_reader::prepare()
{
    const std::size_t size = hasInput() ? readSize : idleReadSize;
    const auto prepared = m_buffer.prepare(std::min(size, m_buffer.max_size() - m_buffer.size()));
    if (!m_parser) {
        // Always granted: the number of connections is bounded.
        m_headMemory->growTo(m_buffer.capacity(), instant{});
    }
    return prepared;
}

void request_reader::commit(std::size_t count)
{
    m_buffer.commit(count);
}

request_reader::outcome request_reader::parse(const client_connection_limits &limits, instant now)
{
    m_isParsing = true;
    auto parsed = parseReserved(limits, now);
    m_isParsing = false;
    if (std::exchange(m_isCleared, false)) {
        clear();
        return incomplete_request();
    }
    return parsed;
}

request_reader::outcome request_reader::parseReserved(const client_connection_limits &limits, instant now)
{
    if (!m_parser) {
        if (m_buffer.size() == 0) {
            return incomplete_request();
        }
        beginRequest(limits, now);
    }
    while (!m_parser->is_done() && m_buffer.size() > 0) {
        if (!reserve(now)) {
            return memoryRefusal;
        }
        if (m_isCleared) {
            return incomplete_request();
        }
        error_code failure;
        const std::size_t taken = m_parser->put(m_buffer.data(), failure);
        m_buffer.consume(taken);
        m_headBytes += m_hasHead ? 0 : taken;
        if (failure == http::error::need_more) {
            break;
        }
        if (failure) {
            return refusalFor(failure);
        }
        if (!m_hasHead && m_parser->is_header_done()) {
            handleHead(now);
            if (hasUnknownCoding(m_request.message.fields)) {
                return request_refusal{400, "the transfer coding must be chunked alone"};
            }
        }
    }
    if (m_parser->is_done()) {
        return takeRequest(now);
    }
    if (m_buffer.size() >= m_buffer.max_size()) {
        return request_refusal{400, "a chunk header or the trailer is longer than the limit of the header"};
    }
    return incomplete_request();
}

bool request_reader::reserve(instant now)
{
    if (m_bodyMemory == nullptr) {
        // The parser keeps a copy of each field.
        return m_headMemory->growTo(m_buffer.capacity() + m_headBytes + m_buffer.size(), now);
    }
    const body_buffer &body = m_parser->get().body();
    return m_bodyMemory->growTo(std::max(body.memory(), body.text.size() + m_buffer.size()), now);
}

void request_reader::beginRequest(const client_connection_limits &limits, instant now)
{
    // Bounds what the parser takes only as a whole: the head, each chunk header and the trailer.
    m_buffer.max_size(std::max(limits.headerBytes + readSize, m_buffer.size()));
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    m_parser->body_limit(limits.bodyBytes);
    refuseControlCharactersInExtensions(*m_parser);
    m_parser->get().body().maxBytes = limits.bodyBytes;
    m_partStart = now;
    m_headBytes = 0;
    m_hasHead = false;
    m_needsContinue = false;
    if (m_onEvict) {
        m_headMemory->allowEviction(memory_use::unfinished, now, m_onEvict);
    }
}

void request_reader::handleHead(instant now)
{
    m_hasHead = true;
    m_partStart = now;
    auto &parsed = m_parser->get();
    m_needsContinue = boost::beast::iequals(parsed[http::field::expect], "100-continue");
    m_request = {};
    m_request.isKeepAlive = parsed.keep_alive();
    m_request.message.method = std::string(parsed.method_string());
    m_request.message.target = std::string(parsed.target());
    m_request.message.fields = takeFields(parsed);
    m_parser->eager(true);
    m_headMemory->keep();
    if (!m_parser->is_done()) {
        m_bodyMemory = std::make_shared<memory_reservation>(m_memory, memory_kind::requestBody, now);
        if (m_onEvict) {
            m_bodyMemory->allowEviction(memory_use::unfinished, now, m_onEvict);
        }
    }
}

request_reader::outcome request_reader::takeRequest(instant now)
{
    if (m_bodyMemory != nullptr) {
        // Passed on or kept until the handler says that it waits.
        m_bodyMemory->keep();
    }
    received_request request = std::exchange(m_request, {});
    auto parsed = m_parser->release();
    request.message.body = http_body(std::move(parsed.body().text), std::move(m_bodyMemory));
    request.headMemory = std::make_shared<memory_reservation>(m_memory, memory_kind::head, now);
    // Not kept while it is reserved, as that is granted in any case: many small requests must not exceed the budget.
    request.headMemory->allowEviction(memory_use::waiting, now, [] {});
    const bool isReserved = request.headMemory->growTo(m_headBytes, now);
    request.headMemory->keep();
    m_parser.reset();
    m_needsContinue = false;
    if (m_buffer.size() == 0 && m_buffer.capacity() > idleReadSize) {
        m_buffer.shrink_to_fit();
    }
    m_headMemory->shrinkTo(m_buffer.capacity());
    if (!isReserved) {
        return memoryRefusal;
    }
    return request;
}

std::optional<request_refusal> request_reader::checkTimeLimits(const client_connection_limits &limits, instant now) const
{
    if (!m_parser || m_needsContinue || now - m_partStart <= (m_hasHead ? limits.bodyTimeout : limits.headerTimeout)) {
        return std::nullopt;
    }
    return request_refusal{408, "the request was not complete in time"};
}

bool request_reader::needsContinue() const
{
    return m_needsContinue;
}

void request_reader::setContinueSent(instant now)
{
    m_needsContinue = false;
    m_partStart = now;
}

bool request_reader::hasInput() const
{
    return m_parser.has_value() || m_buffer.size() > 0;
}

std::optional<instant> request_reader::partStart() const
{
    return m_parser ? std::optional<instant>(m_partStart) : std::nullopt;
}

void request_reader::clear()
{
    if (m_isParsing) {
        m_isCleared = true;
        return;
    }
    m_parser.reset();
    m_request = {};
    m_bodyMemory.reset();
    m_needsContinue = false;
    m_buffer.clear();
    m_headMemory->keep();
    m_headMemory->shrinkTo(m_buffer.capacity());
}

} // namespace flamingofield
