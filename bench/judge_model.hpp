#pragma once

#include "judge/service_judge.hpp"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace bench {

/// A fault of the judge's seeded runs.
enum class judge_fault {
    none,
    allTimeOut, ///< One target times out on all work; its health answers well.
    failThirty, ///< One target fails 30% of its work.
    failFifteen,
    halfSlow, ///< Half of one target's answers are ten times slower.
    flapOneSecond,
    flapFourSeconds,
    flapFifteenSeconds,
    pathCut, ///< One member cannot reach one target.
    dataCentreCut, ///< A third of the members cannot reach one target.
    restartOne, ///< A target refuses connections for 2 s, then answers slowly for 5 s.
    restartAll,
    dependencySick, ///< All targets fail 40%, because of a dependency.
    allSlow, ///< All targets five times slower at once.
    memberPaused, ///< One member stands still for 10 s.
    beyondFloor, ///< More targets time out than the floor allows to eject.
    lyingPeer, ///< One member tells evidence against every target.
    slowAndTimeOut, ///< All slow, and one target times out.
    pausedAndFailThirty
};

const std::vector<judge_fault> &allJudgeFaults();
const char *toString(judge_fault fault);

/// A service and its members in the model.
struct judge_model_plan
{
    int targets = 7;
    int slots = 4;
    int members = 7;
    int floorSlots = 20;
    double requestsPerSecond = 140.0; ///< Over all targets and members.
    double healthyBadRate = 0.01;
    flamingofield::milliseconds deadline{1000};
    flamingofield::milliseconds peerDelay{5};
    double calmSeconds = 20.0; ///< Before the fault.
    double faultSeconds = 40.0;
    std::uint64_t seed = 1;
    flamingofield::judge_policy policy;
    judge_fault fault = judge_fault::none;
};

/// What a seeded run showed.
struct judge_model_result
{
    double detectionSeconds = -1.0; ///< Until no member gives the sick target work; below 0 if never.
    double firstMemberSeconds = -1.0; ///< Until the first member takes it out.
    int falseEjections = 0; ///< Of a target that is healthy as the ejecting member sees it.
    int floorViolations = 0; ///< Ticks at which a member's in-service slots were below the floor.
    int fleetFloorViolations = 0; ///< The same for slots in service at any member.
    double sickShare = 0.0; ///< Of the work during the fault, sent to a sick target.
    double targetHours = 0.0;
};

judge_model_result runJudgeModel(const judge_model_plan &plan);

} // namespace bench
