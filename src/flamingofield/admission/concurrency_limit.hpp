#pragma once

namespace flamingofield {

/// Limit of concurrent requests to one target: additive increase on success, multiplicative decrease when the target sheds.
struct concurrency_limit
{
    double value = 1.0;
    int owned = 0; ///< This node's slots of the target, from splitSlots().
    bool hasBounds = false;
    int ceiling = 1; ///< Slots that this node may use at present, from slotCeiling().

    /// Sets quota and ceiling. The value starts at the first ceiling and is never above the current one.
    void setBounds(int ownedSlots, int maxSlots);

    /// Raises the limit after a request succeeded while all allowed slots were in use.
    void increase();

    /// Lowers the limit after the target shed a request.
    void decrease();

    /// Concurrent requests allowed now.
    int allowed() const;
};

} // namespace flamingofield
