#pragma once

#include "http/internal/received_body.hpp"

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string_type.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <string>

namespace flamingofield {

/// Parser of answers that refuses what Beast's parser accepts against the protocol:
/// - statuses outside 100 to 599 (RFC 9110, section 15);
/// - folded lines. Beast's parser joins a line that starts with a blank to the value before it, so an invalid field name there would become
///   part of another field. RFC 9112, section 5.2, lets a gateway answer 502 instead.
class answer_parser : public boost::beast::http::response_parser<received_body>
{
public:
    /// @param maxFieldBytes longest name and value of a field together, in bytes
    explicit answer_parser(std::size_t maxFieldBytes)
        : m_maxFieldBytes(maxFieldBytes)
    {
    }

    /// What was expected in place of what the parser has refused; empty if the failure is one of Beast's parser.
    const std::string &violation() const
    {
        return m_violation;
    }

private:
    void on_field_impl(boost::beast::http::field field, boost::beast::string_view name, boost::beast::string_view value,
                       boost::beast::error_code &failure) override
    {
        if (isFolded(name, value)) {
            m_violation = "expected one line for the field " + std::string(name) + ", got a folded one";
            failure = boost::beast::http::error::bad_field;
            return;
        }
        if (name.size() + value.size() > m_maxFieldBytes) {
            m_violation = "expected at most " + std::to_string(m_maxFieldBytes) + " bytes for a field, got "
                + std::to_string(name.size() + value.size());
            failure = boost::beast::http::error::header_limit;
            return;
        }
        get().insert(field, name, value);
    }

    void on_header_impl(boost::beast::error_code &failure) override
    {
        constexpr unsigned firstStatus = 100;
        constexpr unsigned lastStatus = 599;
        failure = {};
        if (get().result_int() < firstStatus || get().result_int() > lastStatus) {
            m_violation = "expected a status from 100 to 599, got " + std::to_string(get().result_int());
            failure = boost::beast::http::error::bad_status;
        }
    }

    /// @param name of the field, in the parsed bytes
    /// @param value behind the name in the same line, or elsewhere if the parser joined lines or skipped an empty one
    static bool isFolded(boost::beast::string_view name, boost::beast::string_view value)
    {
        const char *position = name.data() + name.size() + 1;
        while (position != value.data() && (*position == ' ' || *position == '\t')) {
            ++position;
        }
        return position != value.data();
    }

    std::size_t m_maxFieldBytes;
    std::string m_violation;
};

} // namespace flamingofield
