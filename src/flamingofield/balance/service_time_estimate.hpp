#pragma once

#include "balance/moving_mean.hpp"
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
    std::unordered_map<std::string, moving_mean> m_seconds; ///< By route.
};

} // namespace flamingofield
