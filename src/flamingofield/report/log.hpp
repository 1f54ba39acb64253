#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace flamingofield {

enum class log_level { debug, info, warn, error };

/// Sets up logging to standard error.
/// @param level debug, info, warn or error
/// @param json one JSON object a line instead of key=value
void startLog(std::string_view level, bool json, std::string_view node);

/// Sets up logging to standard output from a thread of its own, for a daemon whose event loop must never wait: a full
/// queue drops the oldest lines.
/// @param linesPerSecond lines of level info that are written at most; warnings and errors have the same number besides
void startServiceLog(std::string_view level, bool json, std::string_view node, int linesPerSecond);

/// Lines that startServiceLog's bounds have dropped since the start.
std::uint64_t droppedLogLines();

/// Logs one change of state with its fields.
void logEvent(log_level level, std::string_view event, std::initializer_list<std::pair<std::string_view, std::string>> fields);

} // namespace flamingofield
