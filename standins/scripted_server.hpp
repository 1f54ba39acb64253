#pragma once

#include "core/endpoint.hpp"
#include "core/error.hpp"

#include <atomic>
#include <string>
#include <thread>

namespace standins {

/// Server that answers every request with the same bytes, whatever they are, for answers that no library would write.
class scripted_server
{
public:
    /// @param closesAfter close the connection after each answer
    scripted_server(std::string answer, bool closesAfter);
    ~scripted_server();
    scripted_server(const scripted_server &) = delete;
    scripted_server &operator=(const scripted_server &) = delete;

    flamingofield::result<void> start(const flamingofield::endpoint &address);

private:
    void acceptLoop();
    void serve(int connection);

    std::string m_answer;
    bool m_closesAfter;
    int m_listener = -1;
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
};

/// Sends bytes to an address and returns all that comes back until the other side closes or the time is up.
std::string exchangeRaw(const flamingofield::endpoint &address, const std::string &bytes, int timeoutMs);

} // namespace standins
