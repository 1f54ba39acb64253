#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace flamingofield {

/// One parsed line of a node's log.
struct log_line
{
    std::string time; ///< UTC, as in the log; its text order is the order of time.
    std::string node;
    std::string event;
    std::map<std::string, std::string> fields; ///< All other fields.

    /// Value of a field, or "".
    std::string field(const std::string &name) const;
};

/// Parses a line of key=value pairs or JSON.
/// @return the parts; the event is empty if the text is not a log line of a node
log_line parseLogLine(std::string_view text);

/// Adds the lines of one request from one node's log; sorts all by time.
void collectRequestLines(std::string_view requestId, std::string_view log, std::vector<log_line> &lines);

/// Describes in one sentence why a request ended as it did.
/// @param lines of the request from all nodes, in the order of their times
std::string describeCause(const std::vector<log_line> &lines);

} // namespace flamingofield
