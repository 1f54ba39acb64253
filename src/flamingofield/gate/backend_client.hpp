#pragma once

#include "core/endpoint.hpp"
#include "core/time.hpp"

#include <map>
#include <memory>
#include <string>
#include <variant>

namespace flamingofield {

/// A request to a backend server or to another entry VM.
struct backend_request
{
    std::string method;
    std::string target;
    std::string body;
    std::string contentType;
    std::multimap<std::string, std::string> headers;
    instant deadline;
    bool requiresNewConnection = false; ///< Always open a connection, so that a failure to connect proves that nothing was sent.
};

/// A complete answer.
struct backend_answer
{
    int status = 0;
    std::string contentType;
    std::string body;
    std::multimap<std::string, std::string> headers;
    bool wasConnectionReused = false;
};

/// No byte of the request was sent, so it has not run.
struct backend_not_sent
{
    std::string reason;
    bool timedOut = false; ///< The connection was not made in time, as opposed to refused; this node may be the cause.
};

/// The request may have been received; it is not known whether it ran.
struct backend_outcome_unknown
{
    std::string reason;
    bool timedOut = false;
    bool wasConnectionReused = false;
};

using backend_result = std::variant<backend_answer, backend_not_sent, backend_outcome_unknown>;

/// Limits of a backend client.
struct backend_limits
{
    duration connectTimeout = milliseconds(250);
    std::size_t maxIdlePerPeer = 16;
    std::size_t maxAnswerBytes = 8U << 20U;
    std::size_t maxFieldBytes = 8U << 10U; ///< Of the name and value of a field of an answer.
    duration maxIdleTime = seconds(30);
};

/// HTTP client for backend servers and other nodes, with a pool of idle connections for each; thread-safe.
///
/// Only complete answers are returned: a truncated body, a wrong length or an answer without a length is a failure,
/// and its connection is closed. A connection with unread bytes is never reused, as they belong to another request.
class backend_client
{
public:
    explicit backend_client(backend_limits limits);
    ~backend_client();
    backend_client(const backend_client &) = delete;
    backend_client &operator=(const backend_client &) = delete;

    /// Sends a request and waits until its deadline for the complete answer.
    backend_result send(const endpoint &peer, const backend_request &request);

    /// Closes the idle connections to a peer, as after one of them stopped responding without being closed.
    void closeIdleConnections(const endpoint &peer);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace flamingofield
