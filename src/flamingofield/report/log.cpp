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

spdlog::level::level_enum toSpdlogLevel(log_level level)
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

/// Limit of log lines per second. Not thread-safe: used only by the event loop's thread.
struct log_rate_limit
{
    int linesPerSecond = 0; ///< Zero for no limit.
    std::int64_t second = 0;
    int infoLinesLeft = 0;
    int warnLinesLeft = 0;
    std::uint64_t dropped = 0;

    bool tryAcquire(log_level level)
    {
        if (linesPerSecond == 0) {
            return true;
        }
        const auto now = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
        if (now != second) {
            second = now;
            infoLinesLeft = linesPerSecond;
            warnLinesLeft = linesPerSecond;
        }
        int &remaining = level == log_level::debug || level == log_level::info ? infoLinesLeft : warnLinesLeft;
        if (remaining > 0) {
            --remaining;
            return true;
        }
        ++dropped;
        return false;
    }
};

log_rate_limit rateLimit;

} // namespace

void startLog(std::string_view level, bool json, std::string_view node)
{
    usesJson = json;
    auto logger = spdlog::stderr_logger_mt("flamingofield");
    configure(*logger, level, json, node);
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(logger);
}

void startAsyncLog(std::string_view level, bool json, std::string_view node, int linesPerSecond)
{
    constexpr std::size_t queuedLines = 8192;
    usesJson = json;
    spdlog::init_thread_pool(queuedLines, 1);
    auto logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("flamingofield");
    configure(*logger, level, json, node);
    logger->flush_on(spdlog::level::warn);
    spdlog::set_default_logger(logger);
    spdlog::flush_every(std::chrono::seconds(1));
    rateLimit.linesPerSecond = linesPerSecond;
}

std::uint64_t droppedLogLines()
{
    const auto pool = spdlog::thread_pool();
    return rateLimit.dropped + (pool ? pool->overrun_counter() : 0);
}

void logEvent(log_level level, std::string_view event, std::initializer_list<std::pair<std::string_view, std::string>> fields)
{
    if (!spdlog::default_logger_raw()->should_log(toSpdlogLevel(level)) || !rateLimit.tryAcquire(level)) {
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
    spdlog::default_logger_raw()->log(toSpdlogLevel(level), line);
}

} // namespace flamingofield
