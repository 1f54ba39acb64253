#pragma once

#include "soak/soak_record.hpp"
#include "standins/platform_fleet.hpp"

#include <atomic>
#include <thread>
#include <vector>

namespace soak {

/// Callers that keep their connections open, each on its own thread, and record every request.
class callers
{
public:
    /// @param newestVersion version of the newest configuration that the store acknowledged
    callers(const platform_standins::platform_fleet &fleet, std::size_t count, std::uint64_t seed, const std::atomic<int> &newestVersion);
    ~callers();
    callers(const callers &) = delete;
    callers &operator=(const callers &) = delete;

    /// Ends all callers after their current requests.
    /// @return the records of all callers
    std::vector<call_record> stop();

private:
    void run(std::size_t index, std::uint64_t seed);

    const platform_standins::platform_fleet &m_fleet;
    const std::atomic<int> &m_newestVersion;
    std::atomic<bool> m_isStopped{false};
    std::vector<std::vector<call_record>> m_records; ///< By caller.
    std::vector<std::thread> m_threads;
};

} // namespace soak
