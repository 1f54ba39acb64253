#pragma once

namespace flamingo {

/// Exit codes.
constexpr int success = 0;
constexpr int failure = 1; ///< The check found faults, or a node did not answer.
constexpr int usageError = 2;

/// Runs the command line; all commands only read.
/// @return the exit code
int run(int argc, const char *const *argv);

} // namespace flamingo
