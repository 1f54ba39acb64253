#include "report/log.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <atomic>

namespace flamingofield {

namespace {

std::atomic<bool> usesJson{false};

std::string quote(const std::string &value)
{
    const bool isPlain = !value.empty() && value.find_first_of(" \"=\n\t") == std::string::npos;
    return isPlain ? value : nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

spdlog::level::level_enum translate(log_level level)
{
    switch (level) {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warn:
        return spdlog::level::warn;
    case log_level::error:
        break;
    }
    return spdlog::level::err;
}

} // namespace

void startLog(std::string_view level, bool json, std::string_view node)
{
    usesJson = json;
    auto logger = spdlog::stderr_logger_mt("flamingofield");
    const std::string name(node);
    const std::string format = json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","node":")" + name + R"(",%v})"
                                    : "time=%Y-%m-%dT%H:%M:%S.%eZ level=%l node=" + name + " %v";
    logger->set_pattern(format, spdlog::pattern_time_type::utc);
    logger->set_level(spdlog::level::from_str(std::string(level)));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(logger);
}

void logEvent(log_level level, std::string_view event, std::initializer_list<std::pair<std::string_view, std::string>> fields)
{
    std::string line;
    if (usesJson) {
        line = "\"event\":" + nlohmann::json(event).dump();
        for (const auto &[key, value] : fields) {
            line += "," + nlohmann::json(key).dump() + ":"
                + nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        }
    } else {
        line = "event=" + std::string(event);
        for (const auto &[key, value] : fields) {
            line += " " + std::string(key) + "=" + quote(value);
        }
    }
    spdlog::default_logger_raw()->log(translate(level), line);
}

} // namespace flamingofield
