#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bench {

/// Admission policy in the model.
enum class admit_policy {
    ranked, ///< Policy of the library: ranks, guaranteed shares, fairness between callers, shared quotas.
    firstComeFirstServed, ///< Baseline: one bounded queue per member, in order of arrival.
    strictPriority ///< Baseline: ranks without guaranteed shares.
};

const char *toString(admit_policy policy);

/// Parameters of a flood at members that share a service's slots.
struct flood_model_plan
{
    int members = 7;
    int targets = 7;
    int slots = 4;
    double serviceMs = 25.0;
    std::vector<double> loadShares; ///< Offered load by rank, as a share of the capacity.
    std::vector<double> deadlinesMs; ///< By rank, most urgent first.
    std::vector<double> guaranteedShares;
    bool isUneven = false; ///< Most requests arrive at two of the members.
    bool hasRetries = true; ///< Requests that a target sheds are queued again until their deadline.
    double seconds = 14.0;
    std::uint64_t seed = 1;
    admit_policy policy = admit_policy::ranked;
};

/// Request counts of one rank.
struct rank_outcome
{
    long offered = 0;
    long inTime = 0; ///< Answered within the deadline.
    long refused = 0;
};

struct flood_model_result
{
    std::vector<rank_outcome> ranks;
    long attempts = 0; ///< Requests that reached a target or were shed by one.
    long overcommits = 0; ///< Requests that met a target with all slots in use.
};

flood_model_result runFloodModel(const flood_model_plan &plan);

} // namespace bench
