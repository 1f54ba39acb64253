#pragma once

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string_type.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cstdint>

namespace flamingofield {

/// Makes a parser refuse control characters in chunk extensions, which RFC 9112, section 7.1.1, does not allow. Beast's parsers accept
/// them in quoted strings. A reader that takes a line feed alone for the end of a line sees the end of the message elsewhere.
template<class Parser> void refuseControlCharactersInExtensions(Parser &parser)
{
    // The parser keeps a reference, and takes none to a constant.
    static auto check = [](std::uint64_t /*size*/, boost::beast::string_view extensions, boost::beast::error_code &failure) {
        const auto isControl = [](unsigned char c) { return (c < ' ' && c != '\t') || c == 0x7f; };
        if (std::any_of(extensions.begin(), extensions.end(), isControl)) {
            failure = boost::beast::http::error::bad_chunk_extension;
        }
    };
    parser.on_chunk_header(check);
}

} // namespace flamingofield
