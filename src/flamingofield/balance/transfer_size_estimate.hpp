#pragma once

#include "balance/moving_mean.hpp"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace flamingofield {

/// Mean size of the requests and answers of each route, an exponential moving average.
class transfer_size_estimate
{
public:
    /// Records one answered request.
    /// @param bytes size of the request and its answer, heads included
    void observe(const std::string &route, std::size_t bytes);

    /// @return mean size of a request and its answer in bytes, zero before the first answer
    double mean(const std::string &route) const;

private:
    std::unordered_map<std::string, moving_mean> m_bytes; ///< By route.
};

} // namespace flamingofield
