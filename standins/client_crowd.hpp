#pragma once

#include "core/endpoint.hpp"
#include "core/time.hpp"

#include <atomic>
#include <cstddef>
#include <functional>
#include <future>
#include <string>
#include <vector>

namespace standins {

/// A blocking connection whose sends and receives end after a timeout. Errors end the sending; the connection stays open.
class crowd_connection
{
public:
    /// @param receiveBuffer size of the kernel's receive buffer in bytes; 0 for the usual one
    explicit crowd_connection(const flamingofield::endpoint &address, int receiveBuffer = 0);
    ~crowd_connection();
    crowd_connection(const crowd_connection &) = delete;
    crowd_connection &operator=(const crowd_connection &) = delete;

    /// Sends all bytes.
    /// @return false if the connection is closed or takes no bytes for two seconds
    bool send(const std::string &bytes) const;

    /// Sends the bytes as often as needed for a total number of bytes.
    /// @return false as for send()
    bool sendRepeated(const std::string &bytes, std::size_t total) const;

    /// Receives at most a number of bytes and discards them.
    /// @return false if the connection is closed or nothing arrives for two seconds
    bool receive(std::size_t most) const;

private:
    int m_socket = -1;
};

/// Clients that run the same script at the same time, each on a thread of its own, and stay connected until the crowd is destroyed.
class client_crowd
{
public:
    using script = std::function<void(const crowd_connection &)>;

    /// @param receiveBuffer as for crowd_connection
    client_crowd(const flamingofield::endpoint &address, std::size_t clients, const script &run, int receiveBuffer = 0);
    ~client_crowd();
    client_crowd(const client_crowd &) = delete;
    client_crowd &operator=(const client_crowd &) = delete;

    /// Waits until each client has run its script.
    void awaitScripts() const;

private:
    std::atomic<std::size_t> m_running;
    std::promise<void> m_release;
    std::shared_future<void> m_released;
    std::vector<std::future<void>> m_clients;
};

} // namespace standins
