#pragma once

#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <sstream>
#include <string>

namespace test_support {

/// Replaces the default logger during its lifetime and records what is logged.
class log_recorder
{
public:
    log_recorder()
        : m_previousLogger(spdlog::default_logger())
    {
        spdlog::set_default_logger(std::make_shared<spdlog::logger>("recorder", std::make_shared<spdlog::sinks::ostream_sink_st>(m_text)));
    }
    log_recorder(const log_recorder &) = delete;
    log_recorder &operator=(const log_recorder &) = delete;
    ~log_recorder()
    {
        spdlog::set_default_logger(m_previousLogger);
    }

    bool contains(const std::string &text) const
    {
        return m_text.str().find(text) != std::string::npos;
    }

private:
    std::ostringstream m_text;
    std::shared_ptr<spdlog::logger> m_previousLogger;
};

} // namespace test_support
