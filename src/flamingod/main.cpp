#include "flamingofield.hpp"

#include <csignal>
#include <iostream>

namespace {

constexpr int usageError = 2;
constexpr int startError = 1;

int run(const flamingofield::settings &configuration)
{
    flamingofield::startLog(configuration.logLevel, configuration.logJson, toString(configuration.gate));
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    // Threads inherit the signal mask, so the signals are blocked before any thread starts and reach only sigwait.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    flamingofield::node node(configuration);
    const auto started = node.start();
    if (!started) {
        flamingofield::logEvent(flamingofield::log_level::error, "start_failed", {{"error", describe(started.error())}});
        return startError;
    }
    int received = 0;
    sigwait(&signals, &received);
    node.stop();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const auto parsed = flamingofield::parseSettings(argc, argv);
    if (const auto *help = std::get_if<flamingofield::settings_help>(&parsed)) {
        std::cout << help->text;
        return 0;
    }
    if (const auto *errors = std::get_if<std::vector<flamingofield::error>>(&parsed)) {
        for (const auto &e : *errors) {
            std::cerr << "flamingod: " << describe(e) << "\n";
        }
        return usageError;
    }
    return run(std::get<flamingofield::settings>(parsed));
}
