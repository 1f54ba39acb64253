#pragma once

#include "balance/retry_ledger.hpp"
#include "core/endpoint.hpp"
#include "core/time.hpp"
#include "discovery/target_snapshot.hpp"
#include "http/message.hpp"
#include "relay/relay.hpp"
#include "route/forwarding_config.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingofield {

/// Settings of an event-loop node.
struct edge_settings
{
    std::string name; ///< For logs.
    std::string address; ///< This VM's IPv4 address, by which other nodes know it.
    std::string dataCentre;
    std::string region;
    double cores = 1.0; ///< Processor of this VM, in cores.
    endpoint gate; ///< Where callers send requests.
    endpoint readiness; ///< Where the platform asks whether the node is ready.
    endpoint directory; ///< Where callers ask for addresses.
    endpoint metrics; ///< Counters and histograms; port 0 for none.
    std::uint16_t meshPort = 0; ///< UDP and TCP between nodes, the same on all VMs.
    std::vector<std::string> seeds; ///< IPv4 addresses of nodes to ask first; they may be down.
    bool isFirstStart = false; ///< The whole system starts for the first time; there are no callers yet.
    retry_terms retries;
    double floorShare = 0.7; ///< Part of a service's undisturbed targets that must stay in use.
    milliseconds heartbeat{1500}; ///< Interval at which targets renew their registration.
    seconds gracePeriod{6}; ///< From the planned stop to the end by force.
    seconds longestAddressTtl{5}; ///< Bound on the time for which callers keep an address answer.
};

/// A caller's question for addresses.
struct directory_query
{
    std::string host;
    std::string region;
    std::string dataCentre;
};

/// What the calls on a node's own interface look like; the outside decides names and formats.
struct edge_surface
{
    relay_field_names fields;
    std::function<bool(const http_exchange_request &)> isReadinessCall;
    std::function<std::optional<directory_query>(const http_exchange_request &)> parseDirectoryCall;
    std::function<http_exchange_answer(const std::vector<endpoint> &, seconds)> directoryAnswer;
};

/// A document as the store holds it.
struct store_document
{
    std::uint64_t revision = 0; ///< Of its last change.
    std::string bytes;
};

/// What a wait for a change of the configuration brought.
struct store_watch_end
{
    std::optional<store_document> change; ///< None if nothing changed in time.
    bool isHistoryLost = false; ///< Changes may have been missed; read the whole document.
};

/// Calls to the platform's store. Each handler is called once, on the event loop, also after a time-out.
struct store_calls
{
    template<typename T> using handler = std::function<void(result<T>)>;

    std::function<void(handler<std::pair<store_document, std::uint64_t>>)> readConfig; ///< The document and the store's revision.
    std::function<void(std::uint64_t after, milliseconds wait, handler<store_watch_end>)> watchConfig;
    std::function<void(handler<target_snapshot>)> readTargets;
    std::function<result<forwarding_config>(const store_document &)> decodeConfig;
};

} // namespace flamingofield
