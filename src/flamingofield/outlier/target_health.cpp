#include "outlier/target_health.hpp"

#include <array>

namespace flamingofield {

const char *toString(target_state state)
{
    constexpr std::array<const char *, 6> names{"in service", "warming", "ejected", "trial", "ramping", "leaving"};
    return names[static_cast<std::size_t>(state)];
}

bool canReceiveRequests(const target_health &t)
{
    return t.isListed && (t.state == target_state::inService || t.state == target_state::ramping || t.state == target_state::warming);
}

bool isEjectedOrOnTrial(const target_health &t)
{
    return t.state == target_state::ejected || t.state == target_state::trial;
}

} // namespace flamingofield
