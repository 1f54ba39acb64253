#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bench {

/// One measured value.
struct result_row
{
    std::string name;
    std::string policy; ///< Policy or variant that was measured.
    double value = 0.0;
    std::string unit;
    std::optional<double> target; ///< Required bound, if there is one.
};

/// All values that one suite measured.
struct suite_result
{
    std::string suite;
    std::uint64_t seed = 0;
    std::vector<result_row> rows;
};

/// Prints the result as a table to standard output.
void printTable(const suite_result &result);

/// Writes {"suite","seed","rows":[{"name","policy","value","unit","target"}]}.
/// @return false if the file cannot be written
bool writeJson(const suite_result &result, const std::string &path);

} // namespace bench
