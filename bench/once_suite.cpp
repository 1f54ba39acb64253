#include "idempotency_scenario.hpp"
#include "suites.hpp"

namespace bench {

suite_result measureOnce(const bench_arguments &arguments)
{
    suite_result result{"once", arguments.seed, {}};
    for (const auto fault : standins::allIdempotencyFaults()) {
        double keys = 0.0;
        double done = 0.0;
        double notRun = 0.0;
        double unknown = 0.0;
        double violations = 0.0;
        for (int i = 0; i < arguments.seeds; ++i) {
            const standins::idempotency_result counts = runIdempotencyScenario(fault, arguments.seed + static_cast<std::uint64_t>(i));
            keys += counts.keys;
            done += counts.answeredDone;
            notRun += counts.answeredNotRun;
            unknown += counts.answeredUnknownOnly;
            violations += counts.violations();
        }
        const std::string name = toString(fault);
        result.rows.push_back({name + ": violations", "flamingofield", violations, "keys", 0.0});
        result.rows.push_back({name + ": keys sent", "flamingofield", keys, "keys", {}});
        result.rows.push_back({name + ": told done", "flamingofield", done, "keys", {}});
        result.rows.push_back({name + ": told not run", "flamingofield", notRun, "keys", {}});
        result.rows.push_back({name + ": told unknown only", "flamingofield", unknown, "keys", {}});
    }
    return result;
}

} // namespace bench
