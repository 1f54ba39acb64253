#pragma once

namespace flamingo {

/// Exit codes.
constexpr int success = 0;
constexpr int failure = 1; ///< The input has faults, something was not found, or a node did not answer.
constexpr int usageError = 2;

/// Runs the command line. Commands change nothing in the fleet.
/// @return the exit code
int run(int argc, const char *const *argv);

} // namespace flamingo
