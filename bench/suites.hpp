#pragma once

#include "bench_result.hpp"

#include <string>

namespace bench {

/// Arguments common to all suites.
struct bench_arguments
{
    std::uint64_t seed = 1;
    int seeds = 20; ///< Runs of a seeded suite, from the seed upwards.
    int seconds = 5;
    std::string entries; ///< demo: IP:PORT list joined by commas.
    std::string svg; ///< judge: file for the picture.
};

/// Sends work of all ranks to a running fleet and prints how it went.
int runDemo(const bench_arguments &arguments);

/// Time that the proxy adds to a request, against direct calls in the same run.
suite_result measurePath(const bench_arguments &arguments);

/// At-most-once work under each fault, over seeds: violations of the promises.
suite_result measureOnce(const bench_arguments &arguments);

/// Detection time and false ejections of the policies under each fault, from seeded runs of the decision functions.
suite_result measureJudge(const bench_arguments &arguments);

/// Control cost of a node at growing fleets, and of the tables at the size of two years.
suite_result measureCost(const bench_arguments &arguments);

/// Time until a new text is in force everywhere.
suite_result measureSpread(const bench_arguments &arguments);

/// Service by rank under floods, from seeded runs of the admission functions.
suite_result measureFlood(const bench_arguments &arguments);

} // namespace bench
