#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <mutex>
#include <vector>

namespace flamingofield {

/// Result of one request to a target, as far as the target is responsible for it.
enum class observation_kind { good, failed, timedOut, slowInFlight, connectFailed, connectTimedOut, shed };

/// Result of one request, as evidence about its target.
struct observation
{
    int service = 0; ///< Process-wide number of the service.
    std::size_t target = 0; ///< Index of the target in the service's admission_controller.
    observation_kind kind = observation_kind::good;
    duration latency{};
    instant at;
    std::uint64_t source = 0; ///< Caller or connection; simultaneous bad observations of one source count once.
    bool isLeaving = false; ///< The target reported that it is draining.
};

/// Bounded queue of observations from the request threads to the control plane; thread-safe.
class observation_queue
{
public:
    explicit observation_queue(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// @return false if the queue was full and the observation was dropped
    bool push(const observation &o);

    /// Removes and returns all observations.
    std::vector<observation> drain();

private:
    std::size_t m_capacity;
    std::mutex m_mutex;
    std::vector<observation> m_items;
};

} // namespace flamingofield
