#pragma once

#include "core/endpoint.hpp"
#include "core/error.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace flamingofield {

/// A request received from a caller.
struct http_request
{
    std::string method;
    std::string path; ///< Without the query.
    std::string target; ///< With the query, as it is forwarded.
    std::string body;
    std::string contentType;
    std::string remoteHost;
    std::multimap<std::string, std::string> parameters;
    std::multimap<std::string, std::string> headers;

    /// First value of a header, compared without case, or "".
    std::string header(const std::string &name) const;

    /// First value of a query parameter, or "".
    std::string parameter(const std::string &name) const;
};

/// An answer to write to a caller.
struct http_answer
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::multimap<std::string, std::string> headers;
};

/// Limits of a connection server.
struct connection_limits
{
    std::size_t threads = 192; ///< Requests served at once.
    std::size_t queue = 256; ///< Requests read but not yet started.
    std::size_t connections = 4096;
    std::size_t bodyBytes = 1U << 20U;
    int headTimeoutSeconds = 5; ///< Time for a complete request head, from its first bytes.
    int idleTimeoutSeconds = 60; ///< After this an idle connection is closed and an idle worker thread ends.
};

/// Gauges and counters of a connection server.
struct connection_counts
{
    std::uint64_t open = 0;
    std::uint64_t refused = 0; ///< Closed without being read, at the limit of queued requests or of connections.
    std::uint64_t malformed = 0;
    std::uint64_t expired = 0; ///< Closed because the request head did not arrive in time.
};

/// HTTP/1.1 server on cpp-httplib in which an idle connection holds no thread.
///
/// cpp-httplib gives each kept-alive connection a thread, so a few idle callers could occupy all of them. Here
/// connections wait in one epoll set until a complete request head has arrived; only then do they take a thread from a
/// bounded pool.
class connection_server
{
public:
    using handler = std::function<http_answer(const http_request &)>;

    connection_server(connection_limits limits, handler handle);
    ~connection_server();
    connection_server(const connection_server &) = delete;
    connection_server &operator=(const connection_server &) = delete;

    /// Binds and starts to serve on its own threads.
    /// @return the bound port, or an error of step "listen"
    result<std::uint16_t> start(const endpoint &address);

    /// Stops accepting, waits for requests that are being served (for queued ones at most 10 s) and closes idle connections.
    void stop();

    connection_counts counts() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace flamingofield
