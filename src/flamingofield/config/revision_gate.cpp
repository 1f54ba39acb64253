#include "config/revision_gate.hpp"

namespace flamingofield {

text_decision decideText(const text_identity &held, const text_identity &offered)
{
    if (offered.stamp.version != held.stamp.version) {
        return offered.stamp.version > held.stamp.version ? text_decision::accept : text_decision::stale;
    }
    if (offered.hash == held.hash) {
        return text_decision::same;
    }
    return held.stamp.revision < offered.stamp.revision ? text_decision::acceptOverConflict : text_decision::conflict;
}

} // namespace flamingofield
