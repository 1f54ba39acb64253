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

/// How a backend server stand-in treats work; it may be changed while it runs.
struct backend_behaviour
{
    flamingofield::milliseconds serviceTime{10};
    double failShare = 0.0; ///< Of the work, answered with status 500.
    double hangShare = 0.0; ///< Of the work, not answered for hangTime.
    double slowShare = 0.0; ///< Of the work, answered after slowTime.
    flamingofield::milliseconds hangTime{3000};
    flamingofield::milliseconds slowTime{150};
    bool isHealthAnswered = true;
    bool isDraining = false;
    bool shedsAll = false;
    double loadFactor = 1.0; ///< Multiplies the load that is reported.
};

/// Stand-in for a backend server: slots, shed answers, deadlines, health and load, and a count of runs for each key.
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

    /// Runs by idempotency key.
    std::map<std::string, int> runs() const;

    /// All work that was started.
    std::uint64_t started() const;

    /// Requests for work that were received, run or not.
    std::uint64_t offered() const;

private:
    flamingofield::http_answer handle(const flamingofield::http_request &request);
    flamingofield::http_answer health();
    flamingofield::http_answer control(const flamingofield::http_request &request);
    flamingofield::http_answer work(const flamingofield::http_request &request);
    bool takeSlot(flamingofield::instant deadline);
    void releaseSlot();
    void pause(flamingofield::duration length);
    bool draw(double share);

    int m_slots;
    mutable std::mutex m_mutex;
    std::condition_variable m_freed;
    backend_behaviour m_behaviour;
    int m_inUse = 0;
    bool m_isStopping = false;
    std::map<std::string, int> m_runs;
    std::uint64_t m_started = 0;
    std::uint64_t m_offered = 0;
    std::mt19937_64 m_random;
    flamingofield::connection_server m_server;
};

} // namespace standins
