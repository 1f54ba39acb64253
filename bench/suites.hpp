#pragma once

#include "bench_result.hpp"

#include <string>

namespace bench {

/// Arguments common to all suites.
struct bench_arguments
{
    std::uint64_t seed = 1;
    int seeds = 20; ///< Number of runs of a seeded suite; each takes the next seed.
    int seconds = 5; ///< Duration of each load.
    std::string entries; ///< demo: comma-separated IP:PORT of entry VMs.
    std::string svg; ///< Suite "judge": file for the chart.
};

/// Sends requests of all ranks to a running fleet and prints outcomes and latencies.
/// @return exit status
int runDemo(const bench_arguments &arguments);

/// Measures the latency that the proxy adds, compared with direct requests in the same run.
suite_result measurePath(const bench_arguments &arguments);

/// Counts violations of the at-most-once guarantees under each fault, over several seeds.
suite_result measureOnce(const bench_arguments &arguments);

/// Measures detection time and false ejections of each policy under each fault, in seeded runs of the library's functions.
suite_result measureOutlierDetection(const bench_arguments &arguments);

/// Measures the control-plane cost of a node in fleets of growing size, and of the tables at the size expected in two years.
suite_result measureCost(const bench_arguments &arguments);

/// Measures the processor time that a node on the platform spends on choices, messages and membership, on tables of growing size.
suite_result measureNode(const bench_arguments &arguments);

/// Measures the time until a new configuration is in effect on all nodes.
suite_result measureSpread(const bench_arguments &arguments);

/// Measures how each rank is served during floods, in seeded runs of the admission functions.
suite_result measureFlood(const bench_arguments &arguments);

} // namespace bench
