#pragma once

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace flamingofield {

/// Priority class of requests; ranks are listed most urgent first.
struct rank_spec
{
    std::string name;
    milliseconds deadline{1000}; ///< Longest time a request of this rank may take.
    double reportWeight = 1.0; ///< Weight in reports.
    double guaranteedShare = 0.0; ///< Share of a service's slots reserved for this rank while it has demand.
    double objective = 0.99; ///< Share of requests to be served within the deadline.
};

/// A backend server process that runs one service.
struct target_spec
{
    endpoint address;
    std::string dataCentre;
    int slots = 1;
    int connections = 1;
};

/// Method that decides when targets of a service are ejected.
enum class detector_kind { sequential, consecutive, percentage };

/// A service with its targets and its limits.
struct service_spec
{
    std::string name;
    std::vector<std::string> dependsOn;
    int floorSlots = 0; ///< Slots that must stay in service; an ejection that would leave fewer is denied.
    detector_kind detector = detector_kind::sequential;
    double falseEjectionsPerTargetDay = 1.0; ///< Accepted false ejections of a healthy target per day.
    double retryRatio = 0.05; ///< Retries allowed per first attempt.
    std::vector<target_spec> targets;
};

/// Maps a method and a path pattern to a service and a rank.
struct route_spec
{
    std::string method;
    std::string path; ///< Segments; "{name}" matches any one segment, a last "**" any rest.
    std::string service;
    std::string rank;
    bool idempotent = false;
};

/// The operator's configuration, parsed and checked.
struct operator_config
{
    std::uint64_t version = 0;
    std::string deployment;
    std::vector<std::string> dataCentres;
    std::vector<rank_spec> ranks;
    std::vector<service_spec> services;
    std::vector<route_spec> routes;
};

/// One fault in the text of a configuration.
struct config_fault
{
    int line = 0; ///< 1-based, 0 when the fault concerns the whole file.
    std::string key;
    std::string reason;
};

/// The configuration, or all faults found in its text.
using parsed_config = BOOST_OUTCOME_V2_NAMESPACE::unchecked<operator_config, std::vector<config_fault>>;

constexpr std::size_t maxTextBytes = 1U << 20U;

/// Parses and checks the text of a configuration.
/// @return the configuration, or all faults of the text; a syntax error hides all others
parsed_config parseOperatorConfig(std::string_view text);

/// One line of text: "file:line: key: reason".
std::string describe(const config_fault &fault, std::string_view file);

/// @return index of the service, or -1
int findService(const operator_config &config, std::string_view name);

/// @return index of the rank, 0 being the most urgent, or -1
int findRank(const operator_config &config, std::string_view name);

/// Declared slots of all targets of a service.
int declaredSlots(const service_spec &service);

} // namespace flamingofield
