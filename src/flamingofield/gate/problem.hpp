#pragma once

#include "gate/connection_server.hpp"

#include <string>

namespace flamingofield {

/// Whether a request without an answer from a backend server has run.
enum class work_outcome { notRun, unknown };

/// A refusal or failure that is reported to a caller.
struct problem
{
    int status = 500;
    work_outcome outcome = work_outcome::unknown;
    std::string detail;
    std::string step; ///< Operation that failed.
    std::string peer; ///< Address or name of the other side.
    int retryAfterMs = 0; ///< 0 if a retry cannot help.
};

/// Value of the field "outcome": "not run" or "unknown".
const char *toString(work_outcome outcome);

/// Encodes a problem as application/problem+json.
http_answer toAnswer(const problem &p);

/// True if an answer of this node or another one is a problem whose outcome is "not run".
bool promisesNotRun(const http_answer &answer);

} // namespace flamingofield
