#pragma once

#include "core/time.hpp"
#include "gate/connection_server.hpp"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <string>

namespace standins {

/// How a backend server stand-in handles requests; may be changed while it runs.
struct backend_behaviour
{
    flamingofield::milliseconds serviceTime{10};
    double failShare = 0.0; ///< Share of the requests that are answered with status 500.
    double hangShare = 0.0; ///< Share of the requests that are not answered for hangTime.
    double slowShare = 0.0; ///< Share of the requests that are answered after slowTime.
    flamingofield::milliseconds hangTime{3000};
    flamingofield::milliseconds slowTime{150};
    bool isHealthAnswered = true; ///< If false, health checks are answered after hangTime.
    bool isDraining = false;
    bool shedsAll = false; ///< Refuses all requests as overloaded.
    double loadFactor = 1.0; ///< Factor on the load that is reported.
};

/// Stand-in for a backend server with a limited number of slots, deadlines, load shedding and health checks. Counts the runs of each
/// idempotency key.
class backend_server
{
public:
    explicit backend_server(int slots, std::uint64_t seed = 1);
    ~backend_server();
    backend_server(const backend_server &) = delete;
    backend_server &operator=(const backend_server &) = delete;

    flamingofield::result<std::uint16_t> start(const flamingofield::endpoint &address);
    void stop();

    void setBehaviour(const backend_behaviour &behaviour);
    backend_behaviour behaviour() const;

    /// Number of runs by idempotency key.
    std::map<std::string, int> runCounts() const;

    /// Number of requests that began to run.
    std::uint64_t startedRequests() const;

    /// Requests that were received, whether they ran or not; without health checks and control requests.
    std::uint64_t receivedRequests() const;

private:
    flamingofield::http_answer handle(const flamingofield::http_request &request);
    flamingofield::http_answer health();
    flamingofield::http_answer control(const flamingofield::http_request &request);
    flamingofield::http_answer work(const flamingofield::http_request &request);
    /// Waits for a free slot until the deadline.
    /// @return false if there was none, or the server is stopping
    bool takeSlot(flamingofield::instant deadline);
    void releaseSlot();
    /// Waits for a time, or until the server stops.
    void pause(flamingofield::duration length);
    bool drawWithProbability(double probability);

    int m_slots;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed; ///< Notified when a slot becomes free and when the server stops.
    backend_behaviour m_behaviour;
    int m_inUse = 0;
    bool m_isStopping = false;
    std::map<std::string, int> m_runs;
    std::uint64_t m_startedRequests = 0;
    std::uint64_t m_receivedRequests = 0;
    std::mt19937_64 m_random;
    flamingofield::connection_server m_server;
};

} // namespace standins
