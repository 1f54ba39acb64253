#pragma once

#include "core/time.hpp"

#include <string>
#include <unordered_map>

namespace flamingofield {

/// Mean time that the targets take for the requests of each route, learned from answers.
class work_estimate
{
public:
    /// Assumed before the first answer.
    static constexpr milliseconds initialWork{400};

    void observe(const std::string &route, duration taken);

    duration usual(const std::string &route) const;

private:
    /// Weight of the newest answer once there are enough of them.
    static constexpr double newestShare = 0.03;

    struct row
    {
        double meanSeconds = 0.0;
        double count = 0.0;
    };
    std::unordered_map<std::string, row> m_rows;
};

} // namespace flamingofield
