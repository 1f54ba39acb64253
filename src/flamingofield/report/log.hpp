#pragma once

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

/// Logs one change of state with its fields.
void logEvent(log_level level, std::string_view event, std::initializer_list<std::pair<std::string_view, std::string>> fields);

} // namespace flamingofield
