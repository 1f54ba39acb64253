#include "bench_result.hpp"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>

namespace bench {

using nlohmann::json;

void printTable(const suite_result &result)
{
    std::printf("%s, seed %llu\n", result.suite.c_str(), static_cast<unsigned long long>(result.seed));
    for (const auto &row : result.rows) {
        char target[32] = "";
        if (row.target) {
            std::snprintf(target, sizeof target, "target %g", *row.target);
        }
        std::printf("  %-52s %-14s %12.4f %-12s %s\n", row.name.c_str(), row.policy.c_str(), row.value, row.unit.c_str(), target);
    }
}

bool writeJson(const suite_result &result, const std::string &path)
{
    json rows = json::array();
    for (const auto &row : result.rows) {
        rows.push_back({{"name", row.name},
                        {"policy", row.policy},
                        {"value", row.value},
                        {"unit", row.unit},
                        {"target", row.target ? json(*row.target) : json()}});
    }
    std::ofstream file(path);
    file << json{{"suite", result.suite}, {"seed", result.seed}, {"rows", rows}}.dump(2) << "\n";
    return static_cast<bool>(file);
}

} // namespace bench
