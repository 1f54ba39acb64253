#pragma once

#include "http/message.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

namespace flamingofield {

/// Buffer of a body that is being received. Above wholeCapacity it is allocated once, for the longest body that may still come, and the
/// kernel provides its pages as they are written. Growth by doubling would hold up to three times the content while it copies.
struct body_buffer
{
    /// Up to this size, the allocator may provide memory that was written before, so all of the capacity counts. The next larger sizes
    /// are mapped separately: see setAllocatorLimits().
    static constexpr std::size_t wholeCapacity = 128U << 10U;

    std::string text;
    std::size_t maxBytes = 0; ///< Longest body that is accepted.

    /// Bytes of memory that the content takes.
    std::size_t memory() const
    {
        return text.capacity() <= wholeCapacity ? text.capacity() : text.size();
    }

    /// Appends bytes.
    void append(const char *bytes, std::size_t count)
    {
        const std::size_t needed = text.size() + count;
        if (needed > text.capacity()) {
            text.reserve(needed > wholeCapacity ? std::max(needed, maxBytes)
                                                : std::min(wholeCapacity, std::max(needed, 2 * text.capacity())));
        }
        text.append(bytes, count);
    }
};

/// Body type for Beast's parsers that receives into a body_buffer.
struct received_body
{
    using value_type = body_buffer;

    class reader
    {
    public:
        template<bool isRequest, class Fields>
        explicit reader(boost::beast::http::header<isRequest, Fields> & /*head*/, value_type &body)
            : m_body(body)
        {
        }

        /// @param length declared length of the body, if the head has one
        void init(const boost::optional<std::uint64_t> &length, boost::beast::error_code &failure)
        {
            failure = {};
            if (!length) {
                return;
            }
            m_body.maxBytes = static_cast<std::size_t>(std::min<std::uint64_t>(*length, m_body.maxBytes));
            if (m_body.maxBytes <= body_buffer::wholeCapacity) {
                m_body.text.reserve(m_body.maxBytes);
            }
        }

        template<class ConstBufferSequence> std::size_t put(const ConstBufferSequence &buffers, boost::beast::error_code &failure)
        {
            failure = {};
            std::size_t taken = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char *>(buffer.data()), buffer.size());
                taken += buffer.size();
            }
            return taken;
        }

        void finish(boost::beast::error_code &failure)
        {
            failure = {};
        }

    private:
        value_type &m_body;
    };
};

/// Takes the fields of a complete head out of the message of a parser. Beast's parsers add the fields of a trailer to those of the head,
/// where RFC 9110, section 6.5.1, does not allow them: they would pass checks that were made on the head.
inline header_fields takeFields(boost::beast::http::fields &parsed)
{
    header_fields fields;
    for (const auto &field : parsed) {
        const auto name = field.name_string();
        const auto value = field.value();
        fields.add({name.data(), name.size()}, {value.data(), value.size()});
    }
    parsed.clear();
    return fields;
}

/// True if a head names a transfer coding other than chunked. Beast's parsers ignore those, and take what follows a request for the next
/// one. RFC 9112, section 6.3, requires to refuse a request whose last coding is not chunked; no other coding can be decoded.
inline bool hasUnknownCoding(const header_fields &fields)
{
    return std::any_of(fields.all().begin(), fields.all().end(), [](const header_fields::field &each) {
        return isSameName(each.first, "Transfer-Encoding") && !isSameName(each.second, "chunked");
    });
}

} // namespace flamingofield
