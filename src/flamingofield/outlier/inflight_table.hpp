#pragma once

#include "outlier/observation.hpp"

#include <functional>
#include <mutex>
#include <unordered_map>

namespace flamingofield {

/// Requests in flight, so that a slow answer counts as evidence before it arrives; thread-safe.
class inflight_table
{
public:
    /// Adds a request.
    /// @return number to pass to end()
    std::uint64_t begin(int service, std::size_t target, std::uint64_t source, instant now);

    /// Removes a request.
    /// @return true if it was already reported as slow, so that it must not be counted as bad a second time
    bool end(std::uint64_t number);

    /// Returns the requests that have become slow since the last call, each once.
    /// @param limitOf age above which a request to the service counts as slow
    std::vector<observation> collectSlow(instant now, const std::function<duration(int service)> &limitOf);

private:
    struct entry
    {
        int service = 0;
        std::size_t target = 0;
        std::uint64_t source = 0;
        instant startedAt;
        bool isReported = false;
    };

    std::mutex m_mutex;
    std::uint64_t m_nextNumber = 1;
    std::unordered_map<std::uint64_t, entry> m_entries;
};

} // namespace flamingofield
