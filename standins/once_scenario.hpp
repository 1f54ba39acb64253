#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace standins {

/// A fault to cause while callers send work that must run at most once.
enum class once_fault {
    none,
    cutToTarget,
    cutFromTarget,
    cutAnswerShort,
    refuseConnect,
    killEntry,
    restartEntry,
    freezeEntry,
    cutPeers,
    shed,
    drain
};

const std::vector<once_fault> &allOnceFaults();

const char *toString(once_fault fault);

/// What callers were told against what ran.
struct once_tally
{
    bool isStarted = false;
    int keys = 0;
    int toldDone = 0; ///< Keys with a recorded answer of a backend server.
    int toldNotRun = 0;
    int toldUnknownOnly = 0;
    int runTwice = 0; ///< Violation: more than one run.
    int runAfterNotRun = 0; ///< Violation: told "not run", yet it ran.
    int doneWithoutRun = 0; ///< Violation: told done, yet it never ran.
    std::string firstViolation;

    int violations() const
    {
        return runTwice + runAfterNotRun + doneWithoutRun;
    }
};

/// Runs callers that repeat each request at other entry VMs until they get an answer, while a fault comes and goes.
once_tally runOnceScenario(once_fault fault, std::uint64_t seed);

} // namespace standins
