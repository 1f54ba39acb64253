#include "balance/transfer_size_estimate.hpp"

namespace flamingofield {

void transfer_size_estimate::observe(const std::string &route, std::size_t bytes)
{
    m_bytes[route].observe(static_cast<double>(bytes));
}

double transfer_size_estimate::mean(const std::string &route) const
{
    const auto found = m_bytes.find(route);
    return found == m_bytes.end() ? 0.0 : found->second.mean();
}

} // namespace flamingofield
