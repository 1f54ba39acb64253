#include "report/counters.hpp"

namespace flamingofield {

const char *toString(counter c)
{
    constexpr std::array<const char *, static_cast<std::size_t>(counter::count)> names{
        "requests_forwarded_total",       "requests_relayed_total",    "retries_sent_total",           "observations_dropped_total",
        "silent_connections_total",       "ejections_total",           "readmissions_total",           "ejections_denied_by_floor_total",
        "ejections_denied_by_path_total", "pauses_noticed_total",      "peer_messages_sent_total",     "peer_messages_received_total",
        "peer_bytes_sent_total",          "peer_bytes_received_total", "peer_messages_rejected_total", "store_reads_total",
        "store_failures_total",           "config_accepted_total",     "config_invalid_total",         "config_stale_total",
        "config_conflict_total",          "members_suspected_total",   "members_lost_total",
    };
    return names[static_cast<std::size_t>(c)];
}

} // namespace flamingofield
