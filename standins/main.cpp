#include "backend_server.hpp"
#include "platform_standin.hpp"

#include <boost/program_options.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace po = boost::program_options;

namespace {

constexpr int usageError = 2;

int waitForSignal(const sigset_t &signals)
{
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}

int runBackend(const po::variables_map &values, const flamingofield::endpoint &listen, const sigset_t &signals)
{
    standins::backend_server server(values["slots"].as<int>(), values["seed"].as<std::uint64_t>());
    standins::backend_behaviour behaviour;
    behaviour.serviceTime = flamingofield::milliseconds(values["service-time-ms"].as<int>());
    server.setBehaviour(behaviour);
    const auto started = server.start(listen);
    if (!started) {
        std::cerr << "standin: " << describe(started.error()) << "\n";
        return 1;
    }
    return waitForSignal(signals);
}

int runPlatform(const po::variables_map &values, const flamingofield::endpoint &listen, const sigset_t &signals)
{
    standins::platform_standin server;
    if (values.count("text") != 0) {
        std::ifstream file(values["text"].as<std::string>());
        std::ostringstream text;
        text << file.rdbuf();
        server.publish(text.str());
    }
    std::vector<flamingofield::listed_vm> vms;
    if (values.count("vm") != 0) {
        for (const auto &vm : values["vm"].as<std::vector<std::string>>()) {
            const auto address = flamingofield::parseEndpoint(vm);
            if (address) {
                vms.push_back({address.value(), false});
            }
        }
    }
    server.setVms(vms);
    const auto started = server.start(listen);
    if (!started) {
        std::cerr << "standin: " << describe(started.error()) << "\n";
        return 1;
    }
    return waitForSignal(signals);
}

} // namespace

int main(int argc, char **argv)
{
    po::options_description options(
        "standin backend|platform: stand-ins for a backend server and the platform, for tests and demonstrations");
    options.add_options()("help,h", "print this help")("role", po::value<std::string>(), "backend or platform")(
        "listen", po::value<std::string>(), "IP:PORT")("slots", po::value<int>()->default_value(4),
                                                       "backend: maximum number of concurrent requests")(
        "service-time-ms", po::value<int>()->default_value(10), "backend: duration of a request in milliseconds")(
        "seed", po::value<std::uint64_t>()->default_value(1),
        "backend: seed of its random faults")("text", po::value<std::string>(), "platform: file with the configuration")(
        "vm", po::value<std::vector<std::string>>(), "platform: IP:PORT of a VM in the VM list; may be repeated");
    po::positional_options_description positional;
    positional.add("role", 1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(options).positional(positional).run(), values);
    } catch (const po::error &failure) {
        std::cerr << "standin: " << failure.what() << "\n";
        return usageError;
    }
    const std::string role = values.count("role") != 0 ? values["role"].as<std::string>() : "";
    const auto listen = flamingofield::parseEndpoint(values.count("listen") != 0 ? values["listen"].as<std::string>() : "");
    if (values.count("help") != 0 || (role != "backend" && role != "platform") || !listen) {
        std::cerr << options;
        return values.count("help") != 0 ? 0 : usageError;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return role == "backend" ? runBackend(values, listen.value(), signals) : runPlatform(values, listen.value(), signals);
}
