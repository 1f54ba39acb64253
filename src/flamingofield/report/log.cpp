#include "report/log.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <chrono>

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

void configure(spdlog::logger &logger, std::string_view level, bool json, std::string_view node)
{
    const std::string name(node);
    const std::string format = json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","node":")" + name + R"(",%v})"
                                    : "time=%Y-%m-%dT%H:%M:%S.%eZ level=%l node=" + name + " %v";
    logger.set_pattern(format, spdlog::pattern_time_type::utc);
    logger.set_level(spdlog::level::from_str(std::string(level)));
}

/// Lines that may still be written in the present second. Used by the event loop's thread alone.
struct line_allowance
{
    int linesPerSecond = 0; ///< Zero for no bound.
    std::int64_t second = 0;
    int infoLines = 0;
    int warnLines = 0;
    std::uint64_t dropped = 0;

    bool take(log_level level)
    {
        if (linesPerSecond == 0) {
            return true;
        }
        const auto now = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
        if (now != second) {
            second = now;
            infoLines = linesPerSecond;
            warnLines = linesPerSecond;
        }
        int &left = level == log_level::debug || level == log_level::info ? infoLines : warnLines;
        if (left > 0) {
            --left;
            return true;
        }
        ++dropped;
        return false;
    }
};

line_allowance allowance;

} // namespace

void startLog(std::string_view level, bool json, std::string_view node)
{
    usesJson = json;
    auto logger = spdlog::stderr_logger_mt("flamingofield");
    configure(*logger, level, json, node);
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(logger);
}

void startServiceLog(std::string_view level, bool json, std::string_view node, int linesPerSecond)
{
    constexpr std::size_t queuedLines = 8192;
    usesJson = json;
    spdlog::init_thread_pool(queuedLines, 1);
    auto logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("flamingofield");
    configure(*logger, level, json, node);
    logger->flush_on(spdlog::level::warn);
    spdlog::set_default_logger(logger);
    spdlog::flush_every(std::chrono::seconds(1));
    allowance.linesPerSecond = linesPerSecond;
}

std::uint64_t droppedLogLines()
{
    const auto pool = spdlog::thread_pool();
    return allowance.dropped + (pool ? pool->overrun_counter() : 0);
}

void logEvent(log_level level, std::string_view event, std::initializer_list<std::pair<std::string_view, std::string>> fields)
{
    if (!spdlog::default_logger_raw()->should_log(translate(level)) || !allowance.take(level)) {
        return;
    }
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
