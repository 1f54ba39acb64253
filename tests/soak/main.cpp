#include "fleet.hpp"
#include "report/log.hpp"
#include "soak/soak_callers.hpp"
#include "soak/soak_checks.hpp"
#include "soak/soak_injector.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>

namespace {

constexpr int usageError = 2;

/// Sizes of a run; the defaults are a few dozen threads and ten processes.
struct soak_options
{
    std::uint64_t seed = 1;
    std::uint64_t seeds = 1;
    int seconds = 20;
    int nodes = 6;
    int servers = 6;
    std::size_t callers = 24;
};

/// Time in which a fleet that is left alone serves everywhere again.
constexpr std::chrono::seconds recoveryTime{8};

bool servesEverywhere(const platform_standins::platform_fleet &fleet)
{
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        if (fleet.send(node, "POST", "/write/", "after").status != 200) {
            return false;
        }
    }
    return true;
}

/// @return broken promises, after printing them
std::size_t runOnce(const soak_options &options, std::uint64_t seed)
{
    platform_standins::platform_fleet fleet(options.nodes, options.servers, true);
    if (!fleet.start()) {
        std::cout << "seed " << seed << ": the fleet did not start\n";
        return 1;
    }
    std::atomic<int> newestVersion{soak::firstVersion};
    soak::injector faults(fleet, seed, newestVersion);
    soak::callers callers(fleet, options.callers, seed, newestVersion);
    faults.run(std::chrono::seconds(options.seconds));
    soak::run_record run;
    run.calls = callers.stop();
    run.processes = faults.processes();
    run.changes = faults.changes();
    auto broken = soak::brokenPromises(run, faults.disturbances(), fleet);
    if (!standins::awaitTrue([&] { return servesEverywhere(fleet); }, recoveryTime)) {
        broken.emplace_back("not all nodes serve again after the last fault");
    }
    const auto served = std::count_if(run.calls.begin(), run.calls.end(), [](const auto &call) { return call.status == 200; });
    std::cout << "seed " << seed << ": " << run.calls.size() << " requests, " << served << " served, " << faults.history().size()
              << " faults, " << broken.size() << " broken promises\n";
    for (const auto &line : broken) {
        std::cout << "  " << line << "\n";
    }
    if (!broken.empty()) {
        fleet.keepLogs();
        for (const auto &line : faults.history()) {
            std::cout << "  fault at " << line << "\n";
        }
        std::cout << "  logs: " << fleet.directory() << "\n";
    }
    std::cout.flush();
    return broken.size();
}

} // namespace

/// Randomized soak: real processes, faults from outside, checks of what callers and backend servers saw.
int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    soak_options options;
    po::options_description description("soak: disturbs a small fleet of real processes and checks what it promises");
    description.add_options()("help", "print this text")("seed", po::value(&options.seed), "first seed")(
        "seeds", po::value(&options.seeds), "number of seeds, one run each")("seconds", po::value(&options.seconds), "length of each run")(
        "nodes", po::value(&options.nodes), "entry nodes")("servers", po::value(&options.servers), "backend servers")(
        "callers", po::value(&options.callers), "callers with connections of their own");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
        if (values.count("help") != 0) {
            std::cout << description;
            return 0;
        }
    } catch (const po::error &failure) {
        std::cerr << "soak: " << failure.what() << "\n";
        return usageError;
    }
    std::signal(SIGPIPE, SIG_IGN);
    flamingofield::startLog("off", false, "soak");
    std::size_t broken = 0;
    for (std::uint64_t seed = options.seed; seed < options.seed + options.seeds; ++seed) {
        broken += runOnce(options, seed);
    }
    return broken == 0 ? 0 : 1;
}
