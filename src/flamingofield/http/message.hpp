#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace flamingofield {

/// Header fields in their order; names compare without case.
class header_fields
{
public:
    using field = std::pair<std::string, std::string>;

    void add(std::string_view name, std::string_view value);

    /// Replaces all fields of the name by one.
    void set(std::string_view name, std::string_view value);
    void remove(std::string_view name);

    /// @return the first value of the name, empty if there is none
    std::string_view value(std::string_view name) const;
    bool has(std::string_view name) const;

    /// Removes the fields that concern one connection only, and those that Connection names.
    void removeHopByHop();

    const std::vector<field> &all() const
    {
        return m_fields;
    }

private:
    std::vector<field> m_fields;
};

/// A whole request.
struct http_exchange_request
{
    std::string method;
    std::string target; ///< Path and query.
    header_fields fields;
    std::string body;
};

/// A whole answer.
struct http_exchange_answer
{
    int status = 0;
    std::string reason;
    header_fields fields;
    std::string body;
};

/// An answer of the node itself: a status and a JSON body with the reason.
http_exchange_answer errorAnswer(int status, std::string_view reason);

/// True if the names are equal without case.
bool isSameName(std::string_view a, std::string_view b);

/// Bytes of a request with its length; the fields must not name a length or coding.
std::string serialize(const http_exchange_request &request);

/// How an answer is framed.
struct answer_framing
{
    bool isHead = false; ///< The request was HEAD: the length is kept, the body left out.
    bool closes = false; ///< The connection ends after the answer.
};

/// Bytes of an answer with its length.
std::string serialize(const http_exchange_answer &answer, answer_framing framing);

} // namespace flamingofield
