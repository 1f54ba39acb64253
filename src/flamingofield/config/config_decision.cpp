#include "config/config_decision.hpp"

namespace flamingofield {

config_decision decideOffer(const config_identity &active, const config_identity &candidate)
{
    if (candidate.stamp.version != active.stamp.version) {
        return candidate.stamp.version > active.stamp.version ? config_decision::accept : config_decision::stale;
    }
    if (candidate.hash == active.hash) {
        return config_decision::same;
    }
    return active.stamp.revision < candidate.stamp.revision ? config_decision::replaceConflicting : config_decision::conflict;
}

} // namespace flamingofield
