#pragma once

#include "judge/observation.hpp"

#include <functional>
#include <mutex>
#include <unordered_map>

namespace flamingofield {

/// Requests that targets are working on, so that a late answer is evidence before it arrives; thread-safe.
class inflight_table
{
public:
    /// Enters a request.
    /// @return number to end it by
    std::uint64_t begin(int service, std::size_t target, std::uint64_t source, instant now);

    /// Removes a request.
    /// @return true if it had been reported as late, and so must not be counted again as bad
    bool end(std::uint64_t number);

    /// Reports each request once when its age passes the limit of its service.
    /// @param limitOf age in a service after which a request is late
    std::vector<observation> collectLate(instant now, const std::function<duration(int service)> &limitOf);

private:
    struct entry
    {
        int service = 0;
        std::size_t target = 0;
        std::uint64_t source = 0;
        instant begun;
        bool reported = false;
    };

    std::mutex m_mutex;
    std::uint64_t m_next = 1;
    std::unordered_map<std::uint64_t, entry> m_entries;
};

} // namespace flamingofield
