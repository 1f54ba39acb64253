#pragma once

#include "core/time.hpp"

#include <string>
#include <unordered_map>

namespace flamingofield {

/// Mean service time of the requests of each route, an exponential moving average over the answers of all targets.
class service_time_estimate
{
public:
    /// Mean that is assumed before the first answer.
    static constexpr milliseconds initialServiceTime{400};

    /// Records the service time of one successful answer.
    void observe(const std::string &route, duration taken);

    duration mean(const std::string &route) const;

private:
    /// Weight of the newest answer in the moving average; the first answers weigh more.
    static constexpr double newestShare = 0.03;

    struct row
    {
        double meanSeconds = 0.0;
        double count = 0.0;
    };
    std::unordered_map<std::string, row> m_rows;
};

} // namespace flamingofield
