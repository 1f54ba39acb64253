#include "admission/retry_budget.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

constexpr double maxTokens = 10.0; // Bounds the burst of retries after a period without any.

} // namespace

void retry_budget::deposit()
{
    m_tokens = std::min(m_tokens + m_ratio, maxTokens);
}

bool retry_budget::tryWithdraw()
{
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

} // namespace flamingofield
