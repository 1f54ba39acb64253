#pragma once

#include "core/error.hpp"

#include <optional>
#include <string>
#include <vector>

namespace standins {

/// Whether a process shares the process group of its parent.
enum class process_group {
    inherited,
    /// A process group of its own and empty standard input. Signals reach the processes that it starts as well, and those
    /// that are left when it has ended are killed.
    own,
};

/// A process that a test or a benchmark starts; the destructor kills it.
class child_process
{
public:
    child_process() = default;
    ~child_process();
    child_process(child_process &&other) noexcept;
    child_process &operator=(child_process &&other) noexcept;
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    /// @param command program and its arguments; a program without a slash is looked up in PATH
    /// @param logPath file to which standard output and standard error are appended
    /// @param environment additional variables as NAME=VALUE; they come before the inherited ones
    /// @param group process group to start in
    static flamingofield::result<child_process> start(const std::vector<std::string> &command, const std::string &logPath,
                                                      const std::vector<std::string> &environment = {},
                                                      process_group group = process_group::inherited);

    /// Sends a signal, for example SIGSTOP and SIGCONT to suspend and resume the process.
    void signal(int number) const;

    /// Waits for the process to end.
    /// @return the exit code, or the negative number of the signal that ended it
    int wait();

    /// @return what wait() returns if the process has ended, otherwise nothing, without waiting
    std::optional<int> poll();

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
    process_group m_group = process_group::inherited;
};

/// CPU time and resident memory of a process, as the kernel reports them in /proc.
struct process_usage
{
    double cpuSeconds = 0.0;
    std::size_t residentBytes = 0;
};

process_usage processUsage(int pid);

} // namespace standins
