#include "commands.hpp"

#include "flamingofield.hpp"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace flamingo {

namespace po = boost::program_options;
using nlohmann::json;

namespace {

constexpr flamingofield::milliseconds queryTimeout{2000};

constexpr const char *usage = R"(flamingo reads the state of a fleet; it changes nothing.

  flamingo check FILE                      check a configuration file
  flamingo explain FILE METHOD PATH        route, service and rank of a request
  flamingo status --node IP:PORT           configuration and members as seen by one node
  flamingo targets --node IP:PORT          state of backend servers as seen by every node
  flamingo report burn --node IP:PORT      burn rates of the fleet's error budgets
  flamingo trace ID --logs DIR             log lines of a request from all nodes, and why it ended so

)";

struct arguments
{
    std::vector<std::string> positional;
    std::string output;
    std::string node;
    std::string html;
    std::string logs;
};

int reportUsageError(const std::string &text)
{
    std::cerr << "flamingo: " << text << "\n";
    return usageError;
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

flamingofield::parsed_config loadConfiguration(const std::string &path)
{
    const auto text = readFile(path);
    if (!text) {
        return std::vector<flamingofield::config_fault>{{0, "", "the file cannot be read"}};
    }
    return flamingofield::parseOperatorConfig(*text);
}

int printFaults(const std::vector<flamingofield::config_fault> &faults, const std::string &path, bool isJson)
{
    json rows = json::array();
    for (const auto &fault : faults) {
        rows.push_back({{"line", fault.line}, {"key", fault.key}, {"reason", fault.reason}});
        if (!isJson) {
            std::cerr << describe(fault, path) << "\n";
        }
    }
    if (isJson) {
        std::cout << json{{"file", path}, {"faults", rows}}.dump(2) << "\n";
    }
    return failure;
}

int check(const arguments &args)
{
    if (args.positional.size() != 2) {
        return reportUsageError("check takes one FILE");
    }
    const bool isJson = args.output == "json";
    const auto parsed = loadConfiguration(args.positional[1]);
    if (!parsed) {
        return printFaults(parsed.error(), args.positional[1], isJson);
    }
    const auto &configuration = parsed.value();
    if (isJson) {
        std::cout << json{{"file", args.positional[1]},
                          {"faults", json::array()},
                          {"version", configuration.version},
                          {"services", configuration.services.size()},
                          {"routes", configuration.routes.size()}}
                         .dump(2)
                  << "\n";
    } else {
        std::cout << args.positional[1] << ": version " << configuration.version << ", " << configuration.services.size() << " services, "
                  << configuration.routes.size() << " routes, no faults\n";
    }
    return success;
}

int explain(const arguments &args)
{
    if (args.positional.size() != 4) {
        return reportUsageError("explain takes FILE METHOD PATH");
    }
    const auto parsed = loadConfiguration(args.positional[1]);
    if (!parsed) {
        return printFaults(parsed.error(), args.positional[1], args.output == "json");
    }
    const auto &configuration = parsed.value();
    const int index = flamingofield::route_table(configuration.routes).match(args.positional[2], args.positional[3]);
    if (index < 0) {
        std::cerr << "flamingo: no route for " << args.positional[2] << " " << args.positional[3] << "\n";
        return failure;
    }
    const auto &route = configuration.routes[static_cast<std::size_t>(index)];
    const auto &rank = configuration.ranks[static_cast<std::size_t>(findRank(configuration, route.rank))];
    const auto &service = configuration.services[static_cast<std::size_t>(findService(configuration, route.service))];
    const json row{{"route", route.method + " " + route.path},
                   {"service", route.service},
                   {"rank", route.rank},
                   {"deadlineMs", rank.deadline.count()},
                   {"guaranteedShare", rank.guaranteedShare},
                   {"idempotent", route.idempotent},
                   {"slots", declaredSlots(service)},
                   {"floorSlots", service.floorSlots}};
    if (args.output == "json") {
        std::cout << row.dump(2) << "\n";
        return success;
    }
    for (const auto &[key, value] : row.items()) {
        std::cout << key << ": " << (value.is_string() ? value.get<std::string>() : value.dump()) << "\n";
    }
    return success;
}

std::optional<flamingofield::endpoint> parseNodeAddress(const arguments &args)
{
    const auto node = flamingofield::parseEndpoint(args.node);
    if (!node) {
        reportUsageError("--node '" + args.node + "': " + node.error().reason);
        return std::nullopt;
    }
    return node.value();
}

/// Status pages of all nodes; on failure, prints the error and sets the exit code.
std::vector<flamingofield::node_status_page> readStatusPages(const arguments &args, int &code)
{
    const auto node = parseNodeAddress(args);
    if (!node) {
        code = usageError;
        return {};
    }
    auto pages = flamingofield::readFleetStatus(*node, queryTimeout);
    if (!pages) {
        std::cerr << "flamingo: " << describe(pages.error()) << "\n";
        code = failure;
        return {};
    }
    return std::move(pages.value());
}

void printStatus(const json &page)
{
    const auto &config = page["config"];
    std::cout << "serving: " << (page["serving"].get<bool>() ? "yes" : "no") << "\nversion: " << config["version"] << " (revision "
              << config["revision"] << ", from " << config["source"].get<std::string>() << ", "
              << config["inForceForMs"].get<long long>() / 1000 << " s ago)\n";
    for (const auto &refused : config["refused"]) {
        std::cout << "refused: version " << refused["version"] << " from " << refused["source"].get<std::string>() << ": "
                  << refused["reason"].get<std::string>() << "\n";
    }
    for (const auto &node : page["nodes"]) {
        std::cout << "node " << node["gate"].get<std::string>() << " " << node["dataCentre"].get<std::string>() << " "
                  << node["state"].get<std::string>() << (node["leaving"].get<bool>() ? " leaving" : "") << "\n";
    }
}

int status(const arguments &args)
{
    const auto node = parseNodeAddress(args);
    if (!node) {
        return usageError;
    }
    const auto page = flamingofield::readStatus(*node, queryTimeout);
    if (!page) {
        std::cerr << "flamingo: " << describe(page.error()) << "\n";
        return failure;
    }
    if (args.output == "json") {
        std::cout << page.value() << "\n";
    } else {
        printStatus(json::parse(page.value()));
    }
    return success;
}

int targets(const arguments &args)
{
    int code = success;
    const auto pages = readStatusPages(args, code);
    if (code != success) {
        return code;
    }
    json rows = json::array();
    for (const auto &p : pages) {
        const json page = json::parse(p.page, nullptr, false);
        for (const auto &service : page.is_object() ? page["services"] : json::array()) {
            for (auto target : service["member"].get<bool>() ? service["targets"] : json::array()) {
                target["service"] = service["name"];
                target["node"] = p.admin;
                rows.push_back(target);
            }
        }
    }
    if (args.output == "json") {
        std::cout << rows.dump(2) << "\n";
        return success;
    }
    for (const auto &row : rows) {
        std::printf("%-12s %-22s %-22s %-11s evidence %6.2f weight %.2f in use %d of %d\n", row["service"].get<std::string>().c_str(),
                    row["address"].get<std::string>().c_str(), row["node"].get<std::string>().c_str(),
                    row["state"].get<std::string>().c_str(), row["evidence"].get<double>(), row["weight"].get<double>(),
                    row["inUse"].get<int>(), row["allowed"].get<int>());
    }
    return success;
}

int reportBurn(const arguments &args)
{
    if (args.positional.size() != 2 || args.positional[1] != "burn") {
        return reportUsageError("report takes the word burn");
    }
    int code = success;
    const auto pages = readStatusPages(args, code);
    if (code != success) {
        return code;
    }
    flamingofield::burn_report report;
    for (const auto &p : pages) {
        const bool isRead = !p.page.empty() && addStatus(report, p.page);
        (isRead ? report.answered : report.missing).push_back(p.admin);
    }
    if (!args.html.empty()) {
        std::ofstream(args.html) << toHtml(report);
    }
    std::cout << (args.output == "json" ? toJson(report) + "\n" : toTable(report));
    return report.missing.empty() ? success : failure;
}

int trace(const arguments &args)
{
    std::error_code unreadable;
    const std::filesystem::directory_iterator files(args.logs, unreadable);
    if (args.positional.size() != 2 || args.logs.empty()) {
        return reportUsageError("trace takes the ID of a request, and --logs with the folder of the nodes' logs");
    }
    if (unreadable) {
        return reportUsageError("--logs '" + args.logs + "': " + unreadable.message());
    }
    std::vector<flamingofield::log_line> lines;
    for (const auto &file : files) {
        const auto text = file.is_regular_file() ? readFile(file.path()) : std::nullopt;
        if (text) {
            collectRequestLines(args.positional[1], *text, lines);
        }
    }
    if (lines.empty()) {
        std::cerr << "flamingo: no log in " << args.logs << " has a line with id=" << args.positional[1] << "\n";
        return failure;
    }
    for (const auto &line : lines) {
        std::cout << line.time << " " << line.node << " " << line.event;
        for (const auto &[name, value] : line.fields) {
            std::cout << " " << name << "=" << value;
        }
        std::cout << "\n";
    }
    std::cout << "cause: " << describeCause(lines) << "\n";
    return success;
}

} // namespace

int run(int argc, const char *const *argv)
{
    po::options_description options("Flags");
    arguments args;
    options.add_options()("help,h", "print this text")("version", "print the version")(
        "output", po::value(&args.output)->default_value("text"),
        "text or json")("node", po::value(&args.node), "IP:PORT of a node's admin address")("logs", po::value(&args.logs),
                                                                                            "trace: folder with the logs of the nodes")(
        "html", po::value(&args.html), "report: also write an HTML page to this file")("word", po::value(&args.positional), "");
    po::positional_options_description positional;
    positional.add("word", -1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(options).positional(positional).run(), values);
        po::notify(values);
    } catch (const po::error &problem) {
        return reportUsageError(problem.what());
    }
    if (values.count("help") != 0) {
        std::cout << usage << options;
        return success;
    }
    if (values.count("version") != 0) {
        std::cout << "flamingo 0.1.0\n";
        return success;
    }
    if (args.output != "text" && args.output != "json") {
        return reportUsageError("--output '" + args.output + "': expected text or json");
    }
    const std::string command = args.positional.empty() ? "" : args.positional.front();
    if (command == "check") {
        return check(args);
    }
    if (command == "explain") {
        return explain(args);
    }
    if (command == "status") {
        return status(args);
    }
    if (command == "targets") {
        return targets(args);
    }
    if (command == "report") {
        return reportBurn(args);
    }
    if (command == "trace") {
        return trace(args);
    }
    std::cerr << usage;
    return usageError;
}

} // namespace flamingo
