#pragma once

#include "core/endpoint.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <string>

namespace flamingofield {

enum class node_state : std::uint8_t { alive, suspect, dead, left };

/// What a node sends of itself to all others.
struct node_info
{
    std::uint64_t incarnation = 0; ///< Random, new with each process.
    endpoint peerAddress; ///< Where other nodes reach it.
    endpoint gateAddress; ///< Where callers reach it.
    endpoint adminAddress; ///< Where operators reach it.
    std::string dataCentre;
    std::uint32_t epoch = 0; ///< Seconds since it started.
    bool isLeaving = false; ///< It is being stopped: it still serves its callers, but callers are no longer directed to it.
};

/// State of a node as passed between nodes.
struct node_record
{
    node_info info;
    node_state state = node_state::alive;
    std::uint32_t recordVersion = 0; ///< Raised by the node itself to refute a suspicion.
};

} // namespace flamingofield
