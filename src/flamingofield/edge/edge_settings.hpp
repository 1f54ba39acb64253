#pragma once

#include "accounts/quota_table.hpp"
#include "balance/fleet_retry_budget.hpp"
#include "balance/remote_share.hpp"
#include "core/endpoint.hpp"
#include "core/time.hpp"
#include "discovery/target_snapshot.hpp"
#include "http/message.hpp"
#include "proxy/request_proxy.hpp"
#include "route/forwarding_config.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingofield {

/// Settings of an entry node on the platform.
struct edge_settings
{
    std::string name; ///< Node name in log lines.
    std::string address; ///< IPv4 address of this VM; identifies the node to its peers.
    std::string dataCentre;
    std::string region;
    double cores = 1.0; ///< CPU capacity of this VM, in cores.
    std::size_t memoryBytes = 256U << 20U; ///< Memory that the process may take.
    std::size_t fileDescriptors = 4096; ///< Descriptors that the process may have open.
    endpoint gate; ///< Listen address for callers' requests.
    endpoint readiness; ///< Listen address for the platform's readiness probe.
    endpoint directory; ///< Listen address for callers that look up node addresses.
    endpoint metrics; ///< Listen address of the metrics page; port 0 disables it.
    std::uint16_t meshPort = 0; ///< UDP and TCP port for traffic between nodes, the same on all VMs.
    std::vector<std::string> seeds; ///< IPv4 addresses of nodes to contact at the start; some may be down.
    bool isFirstStart = false; ///< The whole system starts for the first time, so there are no callers yet.
    retry_limits retries;
    quota_rules quotas;
    share_settings shares; ///< Of the work that leaves the data centre.
    double maxEarlyShare = 0.0; ///< Largest share of a service's requests that gets a second attempt early; zero for none.
    double floorShare = 0.7; ///< Minimum share of a service's unimpaired targets that must stay in use.
    milliseconds heartbeat{1500}; ///< Interval at which targets renew their registration.
    seconds gracePeriod{6}; ///< From the start of a planned stop until the process may be killed.
    seconds maxAddressTtl{5}; ///< Upper bound on the TTL of address answers.
};

/// A caller's look-up of node addresses.
struct directory_query
{
    std::string host;
    std::string region;
    std::string dataCentre;
};

/// Header names and call formats of the HTTP interface that nodes serve; defined by the platform.
struct edge_http_interface
{
    proxy_field_names fields;
    std::function<bool(const http_request_message &)> isReadinessCall;
    std::function<std::optional<directory_query>(const http_request_message &)> parseDirectoryCall;
    std::function<http_answer_message(const std::vector<endpoint> &, seconds)> formatDirectoryAnswer;
};

/// A stored document.
struct store_document
{
    std::uint64_t revision = 0; ///< Store revision of its last change.
    std::string bytes;
    /// Number of the store's history that the revision belongs to. It rises when the store comes back from an earlier copy, which gives
    /// revisions out again; zero if unknown.
    std::uint64_t era = 0;
};

/// Result of one watch call on the configuration.
struct store_watch_result
{
    std::optional<store_document> change; ///< Empty if nothing changed before the watch ended.
    bool isHistoryLost = false; ///< Changes may have been missed; the whole document must be read again.
    std::uint64_t era = 0; ///< See store_document::era.
};

/// Calls to the platform's store. Each handler is called exactly once, on the event loop; a timeout is reported as an error.
struct store_calls
{
    template<typename T> using handler = std::function<void(result<T>)>;

    std::function<void(handler<std::pair<store_document, std::uint64_t>>)> readConfig; ///< Returns the document and the store's revision.
    std::function<void(std::uint64_t after, milliseconds wait, handler<store_watch_result>)> watchConfig;
    std::function<void(handler<target_snapshot>)> readTargets;
    std::function<result<forwarding_config>(const store_document &)> decodeConfig;
    /// Replaces the keys of client accounts in a document that decodeConfig() accepts, so that it can be passed on to peers; the result
    /// decodes to the same configuration.
    std::function<store_document(const store_document &)> withoutKeys;
    std::function<std::uint64_t()> transferredBytes; ///< Approximate bytes of all requests to the store and its answers; may be empty.
};

} // namespace flamingofield
