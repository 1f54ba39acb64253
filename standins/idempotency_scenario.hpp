#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace standins {

/// Fault to inject while callers send non-idempotent requests.
enum class idempotency_fault {
    none,
    dropBytesToTarget,
    dropBytesFromTarget,
    truncateAnswer,
    refuseConnections,
    killEntryVm,
    restartEntryVm,
    suspendEntryVm,
    dropPeerMessages,
    shedLoad,
    drain
};

const std::vector<idempotency_fault> &allIdempotencyFaults();

const char *toString(idempotency_fault fault);

/// Compares the answers that callers got with the runs on the backend servers; counts keys.
struct idempotency_result
{
    bool isStarted = false;
    int keys = 0; ///< All keys that were sent.
    int answeredDone = 0; ///< Keys with an answer of a backend server.
    int answeredNotRun = 0; ///< Keys with an answer "not run".
    int answeredUnknownOnly = 0; ///< Keys with neither.
    int runTwice = 0; ///< Violation: more than one run.
    int runAfterNotRun = 0; ///< Violation: an answer "not run", although it ran.
    int doneWithoutRun = 0; ///< Violation: an answer of a backend server, although it never ran.
    std::string firstViolation;

    int violations() const
    {
        return runTwice + runAfterNotRun + doneWithoutRun;
    }
};

/// Runs callers that repeat each request at other entry VMs until a backend server answered, while a fault is repeatedly injected and
/// removed.
idempotency_result runIdempotencyScenario(idempotency_fault fault, std::uint64_t seed);

} // namespace standins
