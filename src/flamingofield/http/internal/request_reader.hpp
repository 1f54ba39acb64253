#pragma once

#include "core/time.hpp"
#include "http/internal/received_body.hpp"
#include "http/listener.hpp"
#include "http/memory_budget.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <variant>

namespace flamingofield {

/// A complete request, as a client sent it.
struct received_request
{
    http_request_message message;
    std::shared_ptr<memory_reservation> headMemory; ///< For all but the body, which has its own.
    bool isKeepAlive = true; ///< Further requests may follow on the connection.
};

/// Why an incomplete or invalid request is answered with an error.
struct request_refusal
{
    int status = 0;
    std::string_view reason; ///< A literal.
};

/// More bytes are needed.
struct incomplete_request
{
};

/// Refusal of a request whose memory is needed for others, or does not fit into the budget.
constexpr request_refusal memoryRefusal{503, "the memory of the node is taken; send the request again after Retry-After"};

/// Reads the requests of one connection from its bytes, one after another, and enforces the limits of each. Has no network.
///
/// All memory that it takes is reserved in a budget, which may evict the request that is being read.
class request_reader
{
public:
    using outcome = std::variant<incomplete_request, received_request, request_refusal>;

    /// @param memory null for no bound
    explicit request_reader(std::shared_ptr<memory_budget> memory);

    /// Sets the handler that refuses the request that is being read when it is evicted; it calls clear().
    void onEvict(std::function<void()> handler);

    /// Provides memory for the next read from the connection, at most 8 KiB. It stays valid until commit().
    boost::asio::mutable_buffer prepare();

    /// Takes the bytes that were read to the prepared memory, unless clear() was called in the meantime.
    void commit(std::size_t count);

    /// Reads as much of the next request as has arrived. Must not be called between prepare() and commit().
    outcome parse(const client_connection_limits &limits, instant now);

    /// @return the refusal if the request that is being read exceeds the time for its head or body
    std::optional<request_refusal> checkTimeLimits(const client_connection_limits &limits, instant now) const;

    /// True if the client waits for the interim answer "100 Continue" before it sends the body. The time limit of the body does not apply
    /// until then.
    bool needsContinue() const;

    /// Restarts the time limit of the body.
    void setContinueSent(instant now);

    /// True from the first byte of a request until it is complete.
    bool hasInput() const;

    /// Start of the head or of the body that is being read; nothing if there is none.
    std::optional<instant> partStart() const;

    /// True if the head of a request is complete and its body is not.
    bool isReadingBody() const
    {
        return m_parser.has_value() && m_hasHead;
    }

    /// Discards the bytes and the incomplete request. Within parse(), which an eviction may cause, it takes effect at its end.
    void clear();

private:
    outcome parseReserved(const client_connection_limits &limits, instant now);
    /// Reserves the memory that the bytes in the buffer take when they are parsed.
    bool reserve(instant now);
    void beginRequest(const client_connection_limits &limits, instant now);

    void handleHead(instant now);

    outcome takeRequest(instant now);

    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<received_body>> m_parser;
    received_request m_request; ///< Its head, once that is complete.
    instant m_partStart{}; ///< Start of the head or body that is being read.
    std::shared_ptr<memory_budget> m_memory;
    std::shared_ptr<memory_reservation> m_headMemory; ///< Of the buffer and the head that is being read.
    std::shared_ptr<memory_reservation> m_bodyMemory; ///< Of the body that is being read; null if there is none.
    std::function<void()> m_onEvict;
    std::size_t m_headBytes = 0; ///< Parsed bytes of the head that is being read.
    bool m_hasHead = false;
    bool m_needsContinue = false;
    bool m_isParsing = false;
    bool m_isCleared = false; ///< While parsing.
};

} // namespace flamingofield
