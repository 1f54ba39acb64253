#include "once_scenario.hpp"
#include "suites.hpp"

namespace bench {

suite_result measureOnce(const bench_arguments &arguments)
{
    suite_result result{"once", arguments.seed, {}};
    for (const auto fault : standins::allOnceFaults()) {
        double keys = 0.0;
        double done = 0.0;
        double notRun = 0.0;
        double unknown = 0.0;
        double violations = 0.0;
        for (int i = 0; i < arguments.seeds; ++i) {
            const standins::once_tally tally = runOnceScenario(fault, arguments.seed + static_cast<std::uint64_t>(i));
            keys += tally.keys;
            done += tally.toldDone;
            notRun += tally.toldNotRun;
            unknown += tally.toldUnknownOnly;
            violations += tally.violations();
        }
        const std::string name = toString(fault);
        result.rows.push_back({name + ": violations", "flamingofield", violations, "keys", 0.0});
        result.rows.push_back({name + ": keys sent", "flamingofield", keys, "keys", {}});
        result.rows.push_back({name + ": reported done", "flamingofield", done, "keys", {}});
        result.rows.push_back({name + ": reported not run", "flamingofield", notRun, "keys", {}});
        result.rows.push_back({name + ": reported unknown only", "flamingofield", unknown, "keys", {}});
    }
    return result;
}

} // namespace bench
