#pragma once

#include "outlier/outlier_detector.hpp"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace bench {

/// Fault injected in a seeded run of the outlier detection.
enum class modelled_fault {
    none,
    targetTimesOut, ///< One target times out on all requests, but its health check succeeds.
    failThirtyPercent, ///< One target fails 30% of its requests.
    failFifteenPercent,
    halfOfAnswersSlow, ///< Half of one target's answers are ten times slower.
    flapOneSecond,
    flapFourSeconds,
    flapFifteenSeconds,
    pathCut, ///< One member cannot reach one target.
    dataCentreCut, ///< A third of the members cannot reach one target.
    targetRestarts, ///< A target refuses connections for 2 s, then answers slowly for 5 s.
    allTargetsRestart,
    dependencyFails, ///< All targets fail 40% of their requests because of a dependency.
    allTargetsSlow, ///< All targets become five times slower at once.
    memberPaused, ///< One member is paused for 10 s.
    moreThanFloorAllows, ///< More targets time out than the floor allows to eject.
    falseReports, ///< One member reports false evidence against every target.
    allSlowAndTargetTimesOut, ///< All targets slow, and one times out.
    memberPausedAndFailThirtyPercent
};

const std::vector<modelled_fault> &allModelledFaults();
const char *toString(modelled_fault fault);

/// Parameters of the model: a service, its members and the fault.
struct outlier_model_plan
{
    int targets = 7;
    int slots = 4;
    int members = 7;
    int floorSlots = 20;
    double requestsPerSecond = 140.0; ///< Over all targets and members.
    double healthyBadRate = 0.01;
    flamingofield::milliseconds deadline{1000};
    flamingofield::milliseconds peerDelay{5};
    double secondsBeforeFault = 20.0; ///< Without a fault, before it begins.
    double faultSeconds = 40.0;
    std::uint64_t seed = 1;
    flamingofield::outlier_policy policy;
    modelled_fault fault = modelled_fault::none;
};

/// Result of a seeded run.
struct outlier_model_result
{
    double detectionSeconds = -1.0; ///< Until no running member sends requests to the unhealthy target; below 0 if never.
    double firstEjectionSeconds = -1.0; ///< Until the first member stops; below 0 if never.
    int falseEjections = 0; ///< Ejections of targets that are healthy from the ejecting member's view.
    int floorViolations = 0; ///< Member ticks with fewer slots in service than the floor.
    int fleetFloorViolations = 0; ///< Ticks with fewer slots than the floor at the targets that are in service at any member.
    double unhealthyShare = 0.0; ///< Share of the requests during the fault that went to an unhealthy target.
    double targetHours = 0.0;
};

outlier_model_result runOutlierModel(const outlier_model_plan &plan);

} // namespace bench
