#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace flamingofield {

/// One line of a node's log, as key=value or JSON.
struct log_line
{
    std::string time; ///< UTC, as written; sorts as text.
    std::string node;
    std::string event;
    std::map<std::string, std::string> fields; ///< All others.

    /// Empty if there is none.
    std::string field(const std::string &name) const;
};

/// @return the line's parts; without an event if it is no line of a node
log_line parseLogLine(std::string_view text);

/// Adds a log's lines of one request to those of other logs; all are in the order of their times.
void addLinesOf(std::string_view requestId, std::string_view log, std::vector<log_line> &lines);

/// Why a request ended as it did, in one sentence.
/// @param lines of the request, from all nodes, in order
std::string causeOf(const std::vector<log_line> &lines);

} // namespace flamingofield
