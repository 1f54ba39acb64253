#pragma once

#include "core/error.hpp"

#include <string>
#include <vector>

namespace standins {

/// A process that a test or a measurement starts; it is killed when the object goes.
class child_process
{
public:
    child_process() = default;
    ~child_process();
    child_process(child_process &&other) noexcept;
    child_process &operator=(child_process &&other) noexcept;
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    /// @param log file for standard output and standard error
    /// @param environment variables beside those of this process, as NAME=VALUE
    static flamingofield::result<child_process> start(const std::vector<std::string> &words, const std::string &log,
                                                      const std::vector<std::string> &environment = {});

    /// Sends a signal; SIGSTOP and SIGCONT freeze and wake it.
    void signal(int number) const;

    /// Waits for the end. @return the exit code, or minus the signal that ended it
    int wait();

    bool isRunning() const
    {
        return m_pid > 0;
    }

    int pid() const
    {
        return m_pid;
    }

private:
    int m_pid = 0;
};

/// Processor time of a process in seconds and resident memory in bytes, from the kernel.
struct process_usage
{
    double cpuSeconds = 0.0;
    std::size_t residentBytes = 0;
};

process_usage usageOf(int pid);

} // namespace standins
