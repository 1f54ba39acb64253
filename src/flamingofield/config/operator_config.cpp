#include "config/operator_config.hpp"

#include "config/dependency_graph.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <set>

namespace flamingofield {

namespace {

constexpr int maxSlots = 100000;
constexpr int maxConnections = 1000000;
constexpr int maxDeadlineMs = 600000;
constexpr double shareTolerance = 1e-9;

int lineOf(const toml::node &node)
{
    return static_cast<int>(node.source().begin.line);
}

bool isUtf8(std::string_view text)
{
    std::size_t i = 0;
    while (i < text.size()) {
        const auto lead = static_cast<unsigned char>(text[i]);
        const std::size_t length = lead < 0x80 ? 1 : lead >> 5U == 0x6 ? 2 : lead >> 4U == 0xe ? 3 : lead >> 3U == 0x1e ? 4 : 0;
        if (length == 0 || i + length > text.size()) {
            return false;
        }
        for (std::size_t k = 1; k < length; ++k) {
            if ((static_cast<unsigned char>(text[i + k]) & 0xc0U) != 0x80) {
                return false;
            }
        }
        i += length;
    }
    return true;
}

/// Reads the keys of one table and adds a fault for each key that is missing or unknown and each value that is invalid.
class table_reader
{
public:
    table_reader(const toml::table &table, std::string path, std::vector<config_fault> &faults)
        : m_table(table)
        , m_path(std::move(path))
        , m_faults(faults)
    {
    }

    void addFault(std::string_view key, std::string reason, const toml::node *node = nullptr)
    {
        const int line = node != nullptr ? lineOf(*node) : lineOf(m_table);
        m_faults.push_back({line, m_path.empty() ? std::string(key) : m_path + "." + std::string(key), std::move(reason)});
    }

    void rejectUnknownKeys(std::initializer_list<std::string_view> keys)
    {
        for (const auto &[key, node] : m_table) {
            if (std::find(keys.begin(), keys.end(), key.str()) == keys.end()) {
                addFault(key.str(), "unknown key", &node);
            }
        }
    }

    std::string text(std::string_view key)
    {
        const toml::node *node = m_table.get(key);
        if (node == nullptr) {
            addFault(key, "missing");
            return {};
        }
        const auto value = node->value<std::string>();
        if (!node->is_string() || !value || value->empty()) {
            addFault(key, "expected a string that is not empty", node);
            return {};
        }
        return *value;
    }

    std::int64_t integer(std::string_view key, std::int64_t low, std::int64_t high, std::optional<std::int64_t> fallback = {})
    {
        const toml::node *node = m_table.get(key);
        if (node == nullptr) {
            if (!fallback) {
                addFault(key, "missing");
            }
            return fallback.value_or(low);
        }
        const auto value = node->is_integer() ? node->value<std::int64_t>() : std::nullopt;
        if (!value || *value < low || *value > high) {
            addFault(key, "expected a whole number from " + std::to_string(low) + " to " + std::to_string(high), node);
            return low;
        }
        return *value;
    }

    double number(std::string_view key, double low, double high, double fallback)
    {
        const toml::node *node = m_table.get(key);
        if (node == nullptr) {
            return fallback;
        }
        const auto value = node->is_number() ? node->value<double>() : std::nullopt;
        if (!value || !std::isfinite(*value) || *value < low || *value > high) {
            char range[64];
            std::snprintf(range, sizeof range, "expected a number from %g to %g", low, high);
            addFault(key, range, node);
            return fallback;
        }
        return *value;
    }

    bool boolean(std::string_view key)
    {
        const toml::node *node = m_table.get(key);
        if (node == nullptr || !node->is_boolean()) {
            addFault(key, node == nullptr ? "missing" : "expected true or false", node);
            return false;
        }
        return node->value<bool>().value_or(false);
    }

    std::vector<std::string> strings(std::string_view key, bool required)
    {
        std::vector<std::string> values;
        const toml::node *node = m_table.get(key);
        if (node == nullptr) {
            if (required) {
                addFault(key, "missing");
            }
            return values;
        }
        const toml::array *array = node->as_array();
        if (array == nullptr) {
            addFault(key, "expected a list of strings", node);
            return values;
        }
        for (const auto &item : *array) {
            const auto value = item.value<std::string>();
            if (!item.is_string() || !value || value->empty()) {
                addFault(key, "expected a list of strings", &item);
                continue;
            }
            values.push_back(*value);
        }
        return values;
    }

    /// Calls the reader for each table of an array of tables.
    template<typename Reader> void forEachTable(std::string_view key, bool required, Reader reader)
    {
        const toml::node *node = m_table.get(key);
        const toml::array *array = node != nullptr ? node->as_array() : nullptr;
        if (array == nullptr) {
            if (node != nullptr || required) {
                addFault(key, node == nullptr ? "missing" : "expected a list of tables", node);
            }
            return;
        }
        for (std::size_t i = 0; i < array->size(); ++i) {
            const toml::table *row = array->get(i)->as_table();
            if (row == nullptr) {
                addFault(key, "expected a table", array->get(i));
                continue;
            }
            const std::string prefix = m_path.empty() ? "" : m_path + ".";
            table_reader rowReader(*row, prefix + std::string(key) + "[" + std::to_string(i) + "]", m_faults);
            reader(rowReader);
        }
    }

private:
    const toml::table &m_table;
    std::string m_path;
    std::vector<config_fault> &m_faults;
};

rank_spec readRank(table_reader &row)
{
    row.rejectUnknownKeys({"name", "deadline_ms", "worth", "guaranteed_share", "objective"});
    rank_spec rank;
    rank.name = row.text("name");
    rank.deadline = milliseconds(row.integer("deadline_ms", 1, maxDeadlineMs));
    rank.reportWeight = row.number("worth", 0.0, 1e9, 1.0);
    rank.guaranteedShare = row.number("guaranteed_share", 0.0, 1.0, 0.0);
    rank.objective = row.number("objective", 0.0, 0.999999, 0.99);
    return rank;
}

target_spec readTarget(table_reader &row, const operator_config &config)
{
    row.rejectUnknownKeys({"address", "data_centre", "slots", "connections"});
    target_spec target;
    const std::string address = row.text("address");
    if (!address.empty()) {
        const auto parsed = parseEndpoint(address);
        if (parsed) {
            target.address = parsed.value();
        } else {
            row.addFault("address", parsed.error().reason);
        }
    }
    target.dataCentre = row.text("data_centre");
    const auto &known = config.dataCentres;
    if (!target.dataCentre.empty() && std::find(known.begin(), known.end(), target.dataCentre) == known.end()) {
        row.addFault("data_centre", "no data centre is named '" + target.dataCentre + "'");
    }
    target.slots = static_cast<int>(row.integer("slots", 1, maxSlots));
    target.connections = static_cast<int>(row.integer("connections", 1, maxConnections));
    return target;
}

detector_kind readDetectorKind(table_reader &row, std::string_view name)
{
    if (name == "consecutive") {
        return detector_kind::consecutive;
    }
    if (name == "percentage") {
        return detector_kind::percentage;
    }
    if (name != "sequential") {
        row.addFault("judge", "expected sequential, consecutive or percentage");
    }
    return detector_kind::sequential;
}

service_spec readService(table_reader &row, const operator_config &config)
{
    row.rejectUnknownKeys({"name", "depends_on", "floor_slots", "judge", "false_ejections_per_target_day", "retry_ratio", "target"});
    service_spec service;
    service.name = row.text("name");
    service.dependsOn = row.strings("depends_on", false);
    service.floorSlots = static_cast<int>(row.integer("floor_slots", 0, maxSlots));
    service.detector = readDetectorKind(row, row.text("judge"));
    service.falseEjectionsPerTargetDay = row.number("false_ejections_per_target_day", 1e-6, 1000.0, 1.0);
    service.retryRatio = row.number("retry_ratio", 0.0, 0.1, 0.05);
    row.forEachTable("target", true, [&](table_reader &target) { service.targets.push_back(readTarget(target, config)); });
    if (service.floorSlots > declaredSlots(service)) {
        row.addFault("floor_slots", "the floor is above the " + std::to_string(declaredSlots(service)) + " declared slots");
    }
    return service;
}

route_spec readRoute(table_reader &row, const operator_config &config)
{
    row.rejectUnknownKeys({"method", "path", "service", "rank", "idempotent"});
    route_spec route;
    route.method = row.text("method");
    const std::set<std::string> methods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};
    if (!route.method.empty() && methods.count(route.method) == 0) {
        row.addFault("method", "expected GET, HEAD, POST, PUT, PATCH or DELETE");
    }
    route.path = row.text("path");
    if (!route.path.empty() && (route.path[0] != '/' || route.path.rfind("/v1/addresses", 0) == 0)) {
        row.addFault("path", "expected a path that starts with / and is not /v1/addresses");
    }
    route.service = row.text("service");
    if (!route.service.empty() && findService(config, route.service) < 0) {
        row.addFault("service", "no service is named '" + route.service + "'");
    }
    route.rank = row.text("rank");
    if (!route.rank.empty() && findRank(config, route.rank) < 0) {
        row.addFault("rank", "no rank is named '" + route.rank + "'");
    }
    route.idempotent = row.boolean("idempotent");
    return route;
}

/// Method and path without the names of parameters, so that routes that match the same requests have the same form.
std::string canonicalRoute(const route_spec &route)
{
    std::string form = route.method + " ";
    bool isInName = false;
    for (const char c : route.path) {
        if (c == '}') {
            isInName = false;
        }
        if (!isInName) {
            form += c;
        }
        if (c == '{') {
            isInName = true;
        }
    }
    return form;
}

/// Checks what concerns more than one table: unique names, dependencies, shares and routes.
void checkConsistency(const operator_config &config, table_reader &root)
{
    std::set<std::string> names;
    for (const auto &service : config.services) {
        if (!service.name.empty() && !names.insert(service.name).second) {
            root.addFault("service", "two services are named '" + service.name + "'");
        }
        for (const auto &dependency : service.dependsOn) {
            if (findService(config, dependency) < 0) {
                root.addFault("service." + service.name + ".depends_on", "no service is named '" + dependency + "'");
            }
        }
    }
    for (const auto &cycle : findDependencyCycles(config.services)) {
        std::string path;
        for (const auto &name : cycle) {
            path += name + " -> ";
        }
        root.addFault("service." + cycle.front() + ".depends_on", "dependency cycle: " + path + cycle.front());
    }
    std::set<std::string> rankNames;
    double shares = 0.0;
    for (const auto &rank : config.ranks) {
        shares += rank.guaranteedShare;
        if (!rank.name.empty() && !rankNames.insert(rank.name).second) {
            root.addFault("rank", "two ranks are named '" + rank.name + "'");
        }
    }
    if (shares > 1.0 + shareTolerance) {
        root.addFault("rank", "the guaranteed shares add up to more than 1");
    }
    std::set<std::string> forms;
    for (const auto &route : config.routes) {
        if (!forms.insert(canonicalRoute(route)).second) {
            root.addFault("route", "two routes match the same requests: " + route.method + " " + route.path);
        }
    }
}

void readDocument(const toml::table &table, operator_config &config, std::vector<config_fault> &faults)
{
    table_reader root(table, "", faults);
    root.rejectUnknownKeys({"version", "deployment", "data_centres", "rank", "service", "route"});
    config.version = static_cast<std::uint64_t>(root.integer("version", 1, INT64_MAX));
    config.deployment = root.text("deployment");
    config.dataCentres = root.strings("data_centres", true);
    root.forEachTable("rank", true, [&](table_reader &row) { config.ranks.push_back(readRank(row)); });
    root.forEachTable("service", true, [&](table_reader &row) { config.services.push_back(readService(row, config)); });
    root.forEachTable("route", true, [&](table_reader &row) { config.routes.push_back(readRoute(row, config)); });
    checkConsistency(config, root);
}

} // namespace

parsed_config parseOperatorConfig(std::string_view source)
{
    std::vector<config_fault> faults;
    if (source.size() > maxTextBytes) {
        faults.push_back({0, "", "the text is larger than 1 MB"});
        return faults;
    }
    if (!isUtf8(source)) {
        faults.push_back({0, "", "the text is not UTF-8"});
        return faults;
    }
    operator_config config;
    try {
        readDocument(toml::parse(source), config, faults);
    } catch (const toml::parse_error &failure) {
        faults.push_back({static_cast<int>(failure.source().begin.line), "", std::string(failure.description())});
    }
    if (!faults.empty()) {
        return faults;
    }
    return config;
}

std::string describe(const config_fault &fault, std::string_view file)
{
    std::string line(file);
    if (fault.line > 0) {
        line += ":" + std::to_string(fault.line);
    }
    if (!fault.key.empty()) {
        line += ": " + fault.key;
    }
    return line + ": " + fault.reason;
}

int findService(const operator_config &config, std::string_view name)
{
    const auto found = std::find_if(config.services.begin(), config.services.end(), [&](const auto &s) { return s.name == name; });
    return found == config.services.end() ? -1 : static_cast<int>(found - config.services.begin());
}

int findRank(const operator_config &config, std::string_view name)
{
    const auto found = std::find_if(config.ranks.begin(), config.ranks.end(), [&](const auto &r) { return r.name == name; });
    return found == config.ranks.end() ? -1 : static_cast<int>(found - config.ranks.begin());
}

int declaredSlots(const service_spec &service)
{
    int slots = 0;
    for (const auto &target : service.targets) {
        slots += target.slots;
    }
    return slots;
}

} // namespace flamingofield
