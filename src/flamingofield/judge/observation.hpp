#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <mutex>
#include <vector>

namespace flamingofield {

/// How one request to a target went, as far as the target answers for it.
enum class observed { good, failed, timedOut, lateSoFar, connectFailed, shed };

/// One piece of evidence about a target.
struct observation
{
    int service = 0; ///< Process-wide number of the service.
    std::size_t target = 0; ///< Index in the service's gate.
    observed kind = observed::good;
    duration latency{};
    instant at;
    std::uint64_t source = 0; ///< Caller or connection; many bad observations of one source at one instant count once.
    bool isLeaving = false; ///< The target said that it is draining.
};

/// Bounded queue of observations from request threads to the control plane; thread-safe.
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
