#pragma once

#include "discovery/known_targets.hpp"
#include "edge/edge_settings.hpp"
#include "mesh/member_table.hpp"
#include "store/confirmation.hpp"
#include "store/reading_schedule.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace flamingofield {

// Values of both: reader interval, staleness limit, delay per position, initial retry delay, its maximum for the first positions and
// for the others.

/// A draining target must get no new request later than two seconds after the store records it; reading every half second
/// leaves time for one failed read and for the propagation to all nodes.
constexpr reading_schedule::read_intervals targetReadIntervals{milliseconds(500), milliseconds(1000), milliseconds(80),
                                                               milliseconds(100), milliseconds(800),  milliseconds(3200)};
/// A watch reports a change at once, and a watch that times out confirms that there was none. Nodes that receive no confirmation for
/// longer than one watch and its propagation read the store themselves: the last positions after 1.3 s + 6 * 80 ms, within the
/// platform's limit of two seconds.
constexpr reading_schedule::read_intervals configReadIntervals{milliseconds(0),   milliseconds(1300), milliseconds(80),
                                                               milliseconds(100), milliseconds(800),  milliseconds(3200)};

/// When a node that has started reads the store for the first time.
struct first_reads
{
    bool isFirstStart = false; ///< The whole system starts for the first time.
    std::uint64_t seed = 0; ///< Differs from node to node.
};

/// Place of a node among those that read the store.
struct reader_place
{
    std::size_t position = 0; ///< See member_table::readerPosition(); 0 reads for the others.
    std::size_t nodes = 0; ///< Live nodes of the fleet that this one has heard from recently or through others; zero if it hears none.
};

/// This node's copy of the configuration and the targets, which all nodes share. A few nodes read them from the store and the others
/// fetch them from peers; a node reads the store itself when its peers have no fresh copy.
class fleet_state
{
public:
    /// Fetches a path from a peer's mesh port.
    using peer_fetch = std::function<void(node_address, const std::string &path, std::function<void(result<http_answer_message>)>)>;
    using config_handler = std::function<void(std::shared_ptr<const active_config>)>;
    using targets_handler = std::function<void(const target_snapshot &)>;
    using clock = std::function<instant()>;

    /// @param heartbeat interval at which targets renew their registration
    /// @param firstReads the first store read; until then peers may already provide the documents
    /// @param now read when answers of the store and of peers arrive
    fleet_state(store_calls store, peer_fetch fetch, config_handler onConfig, targets_handler onTargets, milliseconds heartbeat,
                instant startedAt, first_reads firstReads, clock now = std::chrono::steady_clock::now);

    /// Starts the reads that are due.
    void tick(const reader_place &place, instant now);

    /// Compares a peer's summary with the local state and fetches what is newer.
    void handlePeerSummary(node_address peer, const fleet_state_summary &peerSummary, instant now);

    /// Versions and ages of the local state, for messages to peers.
    fleet_state_summary summaryForPeers(instant now) const;

    /// Answers a peer's fetch of a document.
    /// @return the answer, with status 404 if the path is unknown or the document not yet known
    http_answer_message serve(const std::string &path) const;

    /// True once this node has a configuration and a target list.
    bool hasConfigAndTargets() const
    {
        return m_config != nullptr && m_targets.hasList();
    }

    /// True if this node uses exactly the targets that the registry lists.
    bool usesRegisteredTargets() const
    {
        return m_targets.missing() == 0 && m_targets.departed() == 0;
    }

    /// Number of targets that the registry lists although they have left, see known_targets.
    std::size_t departedTargets() const
    {
        return m_targets.departed();
    }

    /// Number of targets in use that the registry does not list, see known_targets.
    std::size_t missingTargets() const
    {
        return m_targets.missing();
    }

    duration targetsAge(instant now) const;
    duration configAge(instant now) const;

private:
    void fetchConfig(node_address peer);
    void fetchTargets(node_address peer);
    /// True if a peer has the configuration that this node has, wherever in the store's history each of them read it.
    bool hasSameConfig(const fleet_state_summary &peerSummary) const;
    void handlePeerConfig(node_address peer, const fleet_state_summary &peerSummary, instant now);
    void handlePeerTargets(node_address peer, const fleet_state_summary &peerSummary, instant now);
    confirmation_id nextConfirmation();
    void readTargets(instant now);
    void readConfig(instant now);
    void watchConfig(instant now);
    void applyConfig(const store_document &document, std::string_view source);
    /// Records the place in the store of the configuration that this node has, which was written again.
    void setConfigStamp(const config_stamp &stamp);
    /// Uses the known targets if they have changed.
    void useTargets(std::string_view source, instant now);
    void noteStoreAnswer(std::string_view call);
    void noteStoreFailure(std::string_view call, const error &failure);

    store_calls m_store;
    peer_fetch m_fetch;
    config_handler m_onConfig;
    targets_handler m_onTargets;
    clock m_clock;
    instant m_startedAt;
    first_reads m_firstReads;
    std::shared_ptr<const active_config> m_config;
    store_document m_document; ///< As it is passed on to peers.
    std::uint64_t m_documentDigest = 0;
    config_stamp m_configStamp; ///< Latest place at which the configuration is known to stand.
    confirmation_id m_lastConfirmation; ///< Latest by this node.
    confirmation m_configConfirmation;
    bool m_isFetchingConfig = false;
    std::uint64_t m_watchAfter = 0; ///< Store revision after which the next watch reports changes; zero if the document must be read first.
    std::uint64_t m_watchEra = 0; ///< Era of that revision.
    reading_schedule m_configReads;
    known_targets m_targets;
    bool m_isFetchingTargets = false;
    instant m_departuresFetchedAt{};
    confirmation m_targetsConfirmation;
    reading_schedule m_targetReads;
    bool m_isStoreLost = false;
};

} // namespace flamingofield
