#include "config/settings.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <sstream>

namespace flamingofield {

namespace po = boost::program_options;

namespace {

constexpr const char *releaseVersion = "0.1.0";
constexpr std::size_t minThreads = 8;
constexpr std::size_t maxThreads = 1024;
constexpr std::size_t maxExpectedFleet = 100000;

/// Maps an environment variable to its flag; empty if it sets none.
std::string flagForVariable(const std::string &variable)
{
    const std::string prefix = "FLAMINGOD_";
    if (variable.rfind(prefix, 0) != 0) {
        return {};
    }
    std::string flag = variable.substr(prefix.size());
    std::transform(flag.begin(), flag.end(), flag.begin(),
                   [](unsigned char c) { return c == '_' ? '-' : static_cast<char>(std::tolower(c)); });
    const std::vector<std::string> flags{"gate", "peer",   "admin",          "advertise-gate", "advertise-peer", "platform", "data-centre",
                                         "seed", "secret", "expected-fleet", "threads",        "log-level",      "log-json"};
    return std::find(flags.begin(), flags.end(), flag) == flags.end() ? std::string() : flag;
}

po::options_description describeOptions()
{
    po::options_description options("flamingod serves callers on one entry VM.\n\nFlags, each also as FLAMINGOD_NAME in the environment");
    options.add_options()("help,h", "print this text")("version", "print the version")("gate", po::value<std::string>(),
                                                                                       "IP:PORT to listen on for callers")(
        "peer", po::value<std::string>(), "IP:PORT to listen on for other nodes")("admin", po::value<std::string>(),
                                                                                  "IP:PORT to listen on for metrics and status")(
        "advertise-gate", po::value<std::string>(), "IP:PORT advertised to callers, by default --gate")(
        "advertise-peer", po::value<std::string>(), "IP:PORT advertised to other nodes, by default --peer")(
        "platform", po::value<std::string>(), "IP:PORT of the configuration store and VM list")("data-centre", po::value<std::string>(),
                                                                                                "data centre of this VM")(
        "seed", po::value<std::vector<std::string>>(), "IP:PORT of a peer to contact besides those of the VM list; may be repeated")(
        "secret", po::value<std::string>()->default_value(""), "key that signs messages between nodes; empty for unsigned messages")(
        "expected-fleet", po::value<std::size_t>()->default_value(44),
        "expected number of nodes, over which first reads of the store are spread")("threads", po::value<std::size_t>()->default_value(192),
                                                                                    "requests served at once")(
        "log-level", po::value<std::string>()->default_value("info"), "debug, info, warn or error")("log-json", po::bool_switch(),
                                                                                                    "log JSON lines instead of key=value");
    return options;
}

class settings_reader
{
public:
    explicit settings_reader(const po::variables_map &values)
        : m_values(values)
    {
    }

    endpoint address(const std::string &flag)
    {
        if (m_values.count(flag) == 0) {
            m_errors.push_back({"read settings", "--" + flag, "missing"});
            return {};
        }
        return parse(flag, m_values[flag].as<std::string>());
    }

    endpoint parse(const std::string &flag, const std::string &text)
    {
        const auto parsed = parseEndpoint(text);
        if (!parsed) {
            m_errors.push_back({"read settings", "--" + flag, "'" + text + "': " + parsed.error().reason});
            return {};
        }
        return parsed.value();
    }

    std::string text(const std::string &flag)
    {
        if (m_values.count(flag) == 0 || m_values[flag].as<std::string>().empty()) {
            m_errors.push_back({"read settings", "--" + flag, "missing"});
            return {};
        }
        return m_values[flag].as<std::string>();
    }

    std::size_t number(const std::string &flag, std::size_t low, std::size_t high)
    {
        const auto value = m_values[flag].as<std::size_t>();
        if (value < low || value > high) {
            m_errors.push_back({"read settings", "--" + flag,
                                std::to_string(value) + " is not from " + std::to_string(low) + " to " + std::to_string(high)});
        }
        return value;
    }

    std::string oneOf(const std::string &flag, const std::vector<std::string> &allowed)
    {
        auto value = m_values[flag].as<std::string>();
        if (std::find(allowed.begin(), allowed.end(), value) == allowed.end()) {
            m_errors.push_back({"read settings", "--" + flag, "'" + value + "' is not one of debug, info, warn, error"});
        }
        return value;
    }

    const std::vector<error> &errors() const
    {
        return m_errors;
    }

private:
    const po::variables_map &m_values;
    std::vector<error> m_errors;
};

parsed_settings readValues(const po::variables_map &values)
{
    settings_reader reader(values);
    settings s;
    s.gate = reader.address("gate");
    s.peer = reader.address("peer");
    s.admin = reader.address("admin");
    s.advertisedGate = values.count("advertise-gate") != 0 ? reader.address("advertise-gate") : s.gate;
    s.advertisedPeer = values.count("advertise-peer") != 0 ? reader.address("advertise-peer") : s.peer;
    s.platform = reader.address("platform");
    s.dataCentre = reader.text("data-centre");
    if (values.count("seed") != 0) {
        for (const auto &seed : values["seed"].as<std::vector<std::string>>()) {
            s.seeds.push_back(reader.parse("seed", seed));
        }
    }
    s.secret = values["secret"].as<std::string>();
    s.expectedFleet = reader.number("expected-fleet", 1, maxExpectedFleet);
    s.threads = reader.number("threads", minThreads, maxThreads);
    s.logLevel = reader.oneOf("log-level", {"debug", "info", "warn", "error"});
    s.logJson = values["log-json"].as<bool>();
    if (!reader.errors().empty()) {
        return reader.errors();
    }
    return s;
}

} // namespace

parsed_settings parseSettings(int argc, const char *const *argv)
{
    const po::options_description options = describeOptions();
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, options), values);
        po::store(po::parse_environment(options, flagForVariable), values);
        po::notify(values);
    } catch (const po::error &failure) {
        return std::vector<error>{{"read settings", "command line", failure.what()}};
    }
    if (values.count("help") != 0) {
        std::ostringstream text;
        text << options;
        return settings_help{text.str()};
    }
    if (values.count("version") != 0) {
        return settings_help{std::string("flamingod ") + releaseVersion + "\n"};
    }
    return readValues(values);
}

} // namespace flamingofield
