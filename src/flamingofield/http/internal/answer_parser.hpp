#pragma once

#include "http/internal/received_body.hpp"

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string_type.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/parser.hpp>

namespace flamingofield {

/// Parser of answers that refuses folded lines. Beast's parser joins a line that starts with a blank to the value before it, so a broken
/// name there would become part of another field. RFC 9112, section 5.2, lets a gateway answer 502 instead.
class answer_parser : public boost::beast::http::response_parser<received_body>
{
    void on_field_impl(boost::beast::http::field field, boost::beast::string_view name, boost::beast::string_view value,
                       boost::beast::error_code &failure) override
    {
        if (isFolded(name, value)) {
            failure = boost::beast::http::error::bad_field;
            return;
        }
        get().insert(field, name, value);
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
};

} // namespace flamingofield
