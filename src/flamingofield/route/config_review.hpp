#pragma once

#include "route/forwarding_config.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingofield {

/// How much a finding matters, in the order in which findings are listed.
enum class finding_severity {
    error, ///< The configuration must not be sent.
    warning, ///< An entry without effect, or settings that contradict each other.
    change, ///< A difference from the configuration in force.
};

/// One result of a review.
struct config_finding
{
    finding_severity severity = finding_severity::error;
    std::string place; ///< Entry and field concerned.
    std::string text; ///< What was expected, what was found and what to do; for changes, the difference in words. Never contains a key.
};

/// Fields of a configuration that findings name.
enum class config_field {
    version,
    host,
    prefix,
    retryPolicy,
    timeout,
    latencyObjective,
    attempts,
    priority,
    isPublic,
    service,
    services, ///< The weighted services of a route.
    healthPath,
    connectionLimit,
    headerBytes,
    bodyBytes,
    headerTimeout,
    idleTimeout,
    accounts,
    keys,
    rate,
    burst,
};

/// Names the fields in the words of the document that the reader of the findings knows.
using config_field_namer = std::function<std::string_view(config_field)>;

/// Name of a field in forwarding_config.
std::string_view modelFieldName(config_field field);

/// Text for the place of a finding: `kind "name", field`.
/// @param kind such as "route"
/// @param field may be empty if the finding concerns the whole entry
std::string placeOf(std::string_view kind, std::string_view name, std::string_view field = {});

/// Finds errors, entries that have no effect, limits that contradict each other, and differences from the configuration in force.
/// @param inForce null if there is nothing to compare with
/// @param nameOf names the fields in places and texts
std::vector<config_finding> reviewConfig(const forwarding_config &config, const forwarding_config *inForce = nullptr,
                                         const config_field_namer &nameOf = modelFieldName);

} // namespace flamingofield
