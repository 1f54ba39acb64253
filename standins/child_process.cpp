#include "child_process.hpp"

#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ; // NOLINT(readability-redundant-declaration)

namespace standins {

using flamingofield::error;

namespace {

/// Options for posix_spawnp: an empty signal mask, standard output and standard error appended to a file, and the process group.
class spawn_options
{
public:
    spawn_options(const std::string &logPath, process_group group)
    {
        sigset_t noSignals;
        sigemptyset(&noSignals);
        posix_spawnattr_init(&attributes);
        posix_spawnattr_setsigmask(&attributes, &noSignals);
        posix_spawn_file_actions_init(&files);
        if (group == process_group::own) {
            posix_spawnattr_setpgroup(&attributes, 0);
            posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETPGROUP);
            posix_spawn_file_actions_addopen(&files, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
        } else {
            posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
        }
        posix_spawn_file_actions_addopen(&files, STDERR_FILENO, logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&files, STDERR_FILENO, STDOUT_FILENO);
    }

    ~spawn_options()
    {
        posix_spawnattr_destroy(&attributes);
        posix_spawn_file_actions_destroy(&files);
    }

    spawn_options(const spawn_options &) = delete;
    spawn_options &operator=(const spawn_options &) = delete;

    posix_spawnattr_t attributes{};
    posix_spawn_file_actions_t files{};
};

} // namespace

flamingofield::result<child_process> child_process::start(const std::vector<std::string> &command, const std::string &logPath,
                                                          const std::vector<std::string> &environment, process_group group)
{
    std::vector<char *> arguments;
    for (const auto &argument : command) {
        arguments.push_back(const_cast<char *>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    std::vector<char *> variables;
    for (const auto &variable : environment) {
        variables.push_back(const_cast<char *>(variable.c_str()));
    }
    for (char **inherited = environ; *inherited != nullptr; ++inherited) {
        variables.push_back(*inherited);
    }
    variables.push_back(nullptr);
    const spawn_options options(logPath, group);
    child_process started;
    started.m_group = group;
    const int failure = posix_spawnp(&started.m_pid, arguments[0], &options.files, &options.attributes, arguments.data(), variables.data());
    if (failure != 0) {
        started.m_pid = 0;
        return error{"start process", command[0], std::strerror(failure)};
    }
    return started;
}

child_process::~child_process()
{
    if (m_pid > 0) {
        signal(SIGKILL);
        wait();
    }
}

child_process::child_process(child_process &&other) noexcept
    : m_pid(other.m_pid)
    , m_group(other.m_group)
{
    other.m_pid = 0;
}

child_process &child_process::operator=(child_process &&other) noexcept
{
    std::swap(m_pid, other.m_pid);
    std::swap(m_group, other.m_group);
    return *this;
}

void child_process::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_group == process_group::own ? -m_pid : m_pid, number);
    }
}

int child_process::wait()
{
    if (m_group == process_group::own) {
        // The number of the group stays reserved until waitpid() has reaped the process, so the signal cannot reach others.
        siginfo_t ended{};
        ::waitid(P_PID, static_cast<id_t>(m_pid), &ended, WEXITED | WNOWAIT);
        signal(SIGKILL);
    }
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::optional<int> child_process::poll()
{
    siginfo_t ended{};
    ::waitid(P_PID, static_cast<id_t>(m_pid), &ended, WEXITED | WNOHANG | WNOWAIT);
    return ended.si_pid == 0 ? std::nullopt : std::optional<int>(wait());
}

process_usage processUsage(int pid)
{
    process_usage usage;
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    std::getline(file, line);
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i) {
        fields >> skipped;
    }
    double userTicks = 0.0;
    double systemTicks = 0.0;
    fields >> userTicks >> systemTicks;
    usage.cpuSeconds = (userTicks + systemTicks) / static_cast<double>(sysconf(_SC_CLK_TCK));
    for (int i = 0; i < 8; ++i) {
        fields >> skipped;
    }
    std::size_t pages = 0;
    fields >> pages;
    usage.residentBytes = pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    return usage;
}

} // namespace standins
