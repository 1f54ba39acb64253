#pragma once

namespace flamingofield {

/// Length of the accept queue of all listening sockets. A connection that finds the queue full waits a second for the repeated SYN, so
/// it is above the bursts of reconnecting callers.
constexpr int listenBacklog = 1024;

} // namespace flamingofield
