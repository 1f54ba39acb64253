#include "flood_model.hpp"
#include "suites.hpp"

#include <algorithm>
#include <future>

namespace bench {

namespace {

constexpr double urgentInTimeTarget = 99.9; // Percent within the deadline, under a flood of the least urgent.
constexpr double dueShareTarget = 95.0; // Percent of the guaranteed share or the demand, whichever is less.
constexpr double attemptsTarget = 1.1; // Attempts per request served.

struct flood_case
{
    std::string name;
    std::vector<double> loadShares;
    bool isUneven;
    int floodingRank;
};

struct flood_deployment
{
    std::string name;
    flood_model_plan plan;
};

std::vector<flood_deployment> deployments()
{
    flood_deployment suszarnia{"suszarnia wilgoc", {}};
    suszarnia.plan.deadlinesMs = {500.0, 2000.0, 5000.0};
    suszarnia.plan.guaranteedShares = {0.5, 0.15, 0.05};
    flood_deployment cascadia{"cascadia ledger", {}};
    cascadia.plan.targets = 9;
    cascadia.plan.slots = 6;
    cascadia.plan.members = 12;
    cascadia.plan.deadlinesMs = {5000.0, 3000.0, 8000.0};
    cascadia.plan.guaranteedShares = {0.4, 0.3, 0.1};
    return {suszarnia, cascadia};
}

std::vector<flood_case> floodCases()
{
    return {{"no flood", {0.3, 0.1, 0.1}, false, -1},
            {"least urgent at 10 times", {0.3, 0.1, 10.0}, false, 2},
            {"least urgent at 10 times, uneven callers", {0.3, 0.1, 10.0}, true, 2},
            {"most urgent at 10 times", {10.0, 0.1, 0.1}, false, 0},
            {"most urgent at 10 times, uneven callers", {10.0, 0.1, 0.1}, true, 0}};
}

/// Percentage served in time of what a rank was due: its guaranteed share of the capacity or its demand, whichever is less.
double percentOfDue(const flood_model_plan &plan, const flood_case &c, std::size_t rank, double inTimePerSecond)
{
    const double capacity = plan.targets * plan.slots * 1000.0 / plan.serviceMs;
    const double due = std::min(plan.guaranteedShares[rank], c.loadShares[rank]) * capacity;
    return 100.0 * inTimePerSecond / due;
}

void addCase(suite_result &result, const flood_deployment &d, const flood_case &c, const bench_arguments &arguments)
{
    for (const auto policy : {admit_policy::ranked, admit_policy::firstComeFirstServed, admit_policy::strictPriority}) {
        flood_model_plan plan = d.plan;
        plan.loadShares = c.loadShares;
        plan.isUneven = c.isUneven;
        plan.policy = policy;
        std::vector<rank_outcome> totals(plan.deadlinesMs.size());
        std::vector<double> worst(plan.deadlinesMs.size(), 100.0);
        double attempts = 0.0;
        double served = 0.0;
        std::vector<std::future<flood_model_result>> runs;
        for (int i = 0; i < arguments.seeds; ++i) {
            plan.seed = arguments.seed + static_cast<std::uint64_t>(i);
            runs.push_back(std::async(std::launch::async, [plan] { return runFloodModel(plan); }));
        }
        for (auto &run : runs) {
            const flood_model_result r = run.get();
            attempts += static_cast<double>(r.attempts);
            served += static_cast<double>(r.attempts - r.overcommits);
            for (std::size_t rank = 0; rank < totals.size(); ++rank) {
                totals[rank].offered += r.ranks[rank].offered;
                totals[rank].inTime += r.ranks[rank].inTime;
                worst[rank] = std::min(worst[rank],
                                       100.0 * static_cast<double>(r.ranks[rank].inTime)
                                           / std::max(1.0, static_cast<double>(r.ranks[rank].offered)));
            }
        }
        const bool isRankedPolicy = policy == admit_policy::ranked;
        for (std::size_t rank = 0; rank < totals.size(); ++rank) {
            const std::string name = d.name + ", " + c.name + ", rank " + std::to_string(rank + 1);
            const double seconds = (plan.seconds - plan.deadlinesMs[rank] / 1000.0) * arguments.seeds;
            const bool isUrgentUnderFlood = isRankedPolicy && rank == 0 && c.floodingRank == 2;
            result.rows.push_back({name + ": in time", toString(policy),
                                   100.0 * static_cast<double>(totals[rank].inTime) / static_cast<double>(totals[rank].offered), "%",
                                   isUrgentUnderFlood ? std::optional<double>(urgentInTimeTarget) : std::nullopt});
            if (c.floodingRank != static_cast<int>(rank)) {
                result.rows.push_back({name + ": of its due", toString(policy),
                                       percentOfDue(plan, c, rank, static_cast<double>(totals[rank].inTime) / seconds), "%",
                                       isRankedPolicy ? std::optional<double>(dueShareTarget) : std::nullopt});
            }
        }
        result.rows.push_back({d.name + ", " + c.name + ": attempts per served", toString(policy), attempts / served, "",
                               isRankedPolicy ? std::optional<double>(attemptsTarget) : std::nullopt});
    }
}

} // namespace

suite_result measureFlood(const bench_arguments &arguments)
{
    suite_result result{"flood", arguments.seed, {}};
    for (const auto &d : deployments()) {
        for (const auto &c : floodCases()) {
            addCase(result, d, c, arguments);
        }
    }
    return result;
}

} // namespace bench
