#pragma once

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/time.hpp"

#include <string>
#include <vector>

namespace flamingofield {

/// Status page of one node, or why there is none.
struct node_page
{
    std::string admin;
    std::string page; ///< Empty if the node did not answer.
    std::string reason;
};

/// Reads one node's status page.
result<std::string> readStatus(const endpoint &admin, duration timeout);

/// Reads the status pages of all nodes that the first one knows.
/// @return the pages, or an error of step "read status" if the first node does not answer
result<std::vector<node_page>> readFleet(const endpoint &admin, duration timeout);

} // namespace flamingofield
