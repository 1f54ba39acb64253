#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace flamingofield {

/// Header fields in their order; names are compared without regard to case.
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

    /// Removes the hop-by-hop fields and those that the field Connection names.
    void removeHopByHop();

    const std::vector<field> &all() const
    {
        return m_fields;
    }

private:
    std::vector<field> m_fields;
};

class memory_reservation;

/// Body of a message. Copies share its bytes, so that a body exists once however many attempts or answers hold it.
class http_body
{
public:
    http_body() = default;
    // Not explicit, so that a body is assigned like a string.
    /// @param reservation memory reserved for the bytes, released with them; null if they are not counted
    http_body(std::string bytes, std::shared_ptr<memory_reservation> reservation = nullptr);
    http_body(const char *bytes);

    const std::string &text() const;

    operator const std::string &() const
    {
        return text();
    }

    operator std::string_view() const
    {
        return text();
    }

    std::size_t size() const
    {
        return text().size();
    }

    bool empty() const
    {
        return text().empty();
    }

    std::size_t find(std::string_view part) const
    {
        return text().find(part);
    }

    /// Replaces the bytes by as many of them as given, followed by fill characters if they are fewer. The new ones are not counted.
    void resize(std::size_t size, char fill);

    /// @return null if the bytes are not counted
    memory_reservation *reservation() const;

private:
    struct storage;
    std::shared_ptr<const storage> m_storage; ///< Null if the body is empty.
};

/// A complete request.
struct http_request_message
{
    std::string method;
    std::string target; ///< Path and query.
    header_fields fields;
    http_body body;
};

/// A complete answer.
struct http_answer_message
{
    int status = 0;
    std::string reason;
    header_fields fields;
    http_body body;
    bool closesConnection = false; ///< The client's connection is to be closed after it, unless requests behind it were passed on.
};

/// True if the status states to a caller that its request has not run and will not run: 408, 421, 429 and 503.
bool promisesNotRun(int status);

/// An error answer of the node itself, with the reason in a JSON body.
http_answer_message errorAnswer(int status, std::string_view reason);

/// True if two header names are equal without regard to case.
bool isSameName(std::string_view a, std::string_view b);

/// Encodes the head of a request and adds its Content-Length; the fields must not contain a length or transfer coding.
std::string serializeHead(const http_request_message &request);

/// Approximate size on the wire in bytes: the body, the fields and the target; not the first line's other parts.
std::size_t transferSize(const http_request_message &request);
std::size_t transferSize(const http_answer_message &answer);

/// How an answer is framed.
struct answer_framing
{
    bool isHeadRequest = false; ///< The request was HEAD: a Content-Length field is kept and the body left out.
    bool closesConnection = false; ///< The connection is closed after the answer.
};

/// Encodes the head of an answer and adds its Content-Length.
std::string serializeHead(const http_answer_message &answer, answer_framing framing);

/// Body that follows the head of serializeHead(): that of the answer, or an empty one.
http_body sentBody(const http_answer_message &answer, answer_framing framing);

} // namespace flamingofield
