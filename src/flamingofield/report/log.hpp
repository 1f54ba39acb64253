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
/// @param json one JSON object per line instead of key=value pairs
void startLog(std::string_view level, bool json, std::string_view node);

/// Sets up asynchronous logging to standard output, so that the event loop never blocks: when the queue is full, the
/// oldest lines are dropped.
/// @param linesPerSecond limit for lines of levels debug and info, and again for warnings and errors; 0 for no limit
void startAsyncLog(std::string_view level, bool json, std::string_view node, int linesPerSecond);

/// Number of lines dropped by the limits of startAsyncLog since the start.
std::uint64_t droppedLogLines();

/// Logs one event with its fields.
void logEvent(log_level level, std::string_view event, std::initializer_list<std::pair<std::string_view, std::string>> fields);

} // namespace flamingofield
