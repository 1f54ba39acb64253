#pragma once

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/time.hpp"

#include <string>
#include <vector>

namespace flamingofield {

/// Status page of one node, or the reason why it could not be read.
struct node_status_page
{
    std::string admin; ///< Admin address of the node.
    std::string page; ///< Empty if the node did not answer.
    std::string reason; ///< Empty if it answered.
};

/// Reads the status page of one node.
/// @return the JSON text, or an error of step "read status"
result<std::string> readStatus(const endpoint &admin, duration timeout);

/// Reads the status pages of all nodes that a first node lists in its own.
/// @return the pages, or an error of step "read status" if the first node does not answer
result<std::vector<node_status_page>> readFleetStatus(const endpoint &admin, duration timeout);

} // namespace flamingofield
