#pragma once

#include "gate/connection_server.hpp"
#include "gate/fleet_snapshot.hpp"

namespace flamingofield {

constexpr milliseconds addressAnswerLifetime{2000};

/// Answers GET /v1/addresses?service=S[&dataCentre=D] with the service's members, those of data centre D first.
http_answer answerAddresses(const http_request &request, const fleet_snapshot &snapshot, instant now);

} // namespace flamingofield
