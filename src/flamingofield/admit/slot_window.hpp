#pragma once

namespace flamingofield {

/// Limit of concurrent requests to one target: additive increase on success, multiplicative decrease on shed answers.
struct slot_window
{
    double value = 1.0;
    int owned = 0; ///< Slots that this node holds by the shared quota.
    bool isBound = false;
    int ceiling = 1; ///< Most slots that this node may use at present.

    /// Sets quota and ceiling and moves the value between them.
    void bound(int ownedSlots, int mostSlots);

    /// A request ended well while the window was in full use.
    void increase();

    /// The target shed a request.
    void decrease();

    /// Concurrent requests allowed now.
    int allowed() const;
};

} // namespace flamingofield
