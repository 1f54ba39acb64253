#pragma once

#include "gate/connection_server.hpp"

#include <string>

namespace flamingofield {

/// What is known of the work of a request that got no answer from a backend server.
enum class work_outcome { notRun, unknown };

/// A refusal or failure as told to a caller.
struct problem
{
    int status = 500;
    work_outcome outcome = work_outcome::unknown;
    std::string detail;
    std::string step; ///< What was being done.
    std::string peer; ///< With whom.
    int retryAfterMs = 0; ///< 0 means that a repeat will not help.
};

/// Name as callers read it: "not run" or "unknown".
const char *toString(work_outcome outcome);

/// Encodes a problem as application/problem+json.
http_answer toAnswer(const problem &p);

} // namespace flamingofield
