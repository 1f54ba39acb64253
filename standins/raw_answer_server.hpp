#pragma once

#include "core/endpoint.hpp"
#include "core/error.hpp"

#include <atomic>
#include <string>
#include <thread>

namespace standins {

/// Server that answers every request with the same given bytes, which need not be valid HTTP.
class raw_answer_server
{
public:
    /// @param closesAfterAnswer close the connection after each answer
    raw_answer_server(std::string answer, bool closesAfterAnswer);
    ~raw_answer_server();
    raw_answer_server(const raw_answer_server &) = delete;
    raw_answer_server &operator=(const raw_answer_server &) = delete;

    flamingofield::result<void> start(const flamingofield::endpoint &address);

private:
    void acceptLoop();
    void serve(int connection);

    std::string m_answer;
    bool m_closesAfterAnswer;
    int m_listener = -1;
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
};

/// Sends bytes to an address and receives until the other side closes the connection or sends nothing for the given time.
/// @return all bytes received; empty if the connection failed
std::string exchangeRaw(const flamingofield::endpoint &address, const std::string &bytes, int timeoutMs);

} // namespace standins
