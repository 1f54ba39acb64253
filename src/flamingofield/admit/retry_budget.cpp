#include "admit/retry_budget.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

constexpr double mostTokens = 10.0; // Retries that a calm period may save up.

} // namespace

void retry_budget::deposit()
{
    m_tokens = std::min(m_tokens + m_ratio, mostTokens);
}

bool retry_budget::withdraw()
{
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

} // namespace flamingofield
