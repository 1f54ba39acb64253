#pragma once

#include "edge/edge_settings.hpp"
#include "mesh/member_table.hpp"
#include "store/reading_schedule.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace flamingofield {

/// A leaving target must get nothing new two seconds after the store knows; half a second of reading leaves time for a
/// failed read and the way to all nodes.
constexpr reading_schedule::pace targetReadPace{milliseconds(500), milliseconds(1000), milliseconds(80),
                                                milliseconds(100), milliseconds(800),  milliseconds(3200)};
/// The watch reports changes at once and confirms by its end that there were none. Nodes that hear of no such end for longer
/// than a watch and the way of its news read by themselves, all of them before the two seconds of the contract.
constexpr reading_schedule::pace configReadPace{milliseconds(0),   milliseconds(1300), milliseconds(80),
                                                milliseconds(100), milliseconds(800),  milliseconds(3200)};

/// When a reader last found a document unchanged at the store, as far as this node knows.
class confirmation
{
public:
    explicit confirmation(instant startedAt)
        : m_startedAt(startedAt)
    {
    }

    void confirmedAt(instant at)
    {
        m_at = m_at ? std::max(*m_at, at) : at;
    }

    /// Time since the confirmation; without one, since the start.
    duration age(instant now) const
    {
        return now - m_at.value_or(m_startedAt);
    }

    /// The age as told to peers. A node without a confirmation has none to tell: its start confirms nothing.
    std::uint32_t toldAge(instant now) const;

private:
    instant m_startedAt;
    std::optional<instant> m_at;
};

/// The configuration and the targets that all nodes share: read from the store by few nodes, fetched from peers by the
/// others, and by any node itself when its peers have nothing fresh.
class shared_knowledge
{
public:
    /// Fetches a path from a peer's mesh port.
    using peer_fetch = std::function<void(node_address, const std::string &path, std::function<void(result<http_exchange_answer>)>)>;
    using config_handler = std::function<void(std::shared_ptr<const active_config>)>;
    using targets_handler = std::function<void(const target_snapshot &)>;

    /// @param heartbeat interval at which targets renew their registration
    /// @param firstReadAt own reads wait until then, since peers may know everything already
    shared_knowledge(store_calls store, peer_fetch fetch, config_handler onConfig, targets_handler onTargets, milliseconds heartbeat,
                     instant startedAt, instant firstReadAt);

    /// Starts the reads that are due.
    /// @param rank place of this node in its data centre; 0 reads for the others
    void tick(std::size_t rank, instant now);

    /// Compares a peer's knowledge with the own and fetches what is newer.
    void heard(node_address peer, const mesh_knowledge &theirs, instant now);

    /// What to tell peers.
    mesh_knowledge tell(instant now) const;

    /// Answers a peer's fetch.
    /// @return the answer, with status 404 if there is nothing yet or the path is unknown
    http_exchange_answer serve(const std::string &path) const;

    bool isComplete() const
    {
        return m_config != nullptr && m_hasTargets;
    }

    duration targetsAge(instant now) const;
    duration configAge(instant now) const;

private:
    void fetchConfig(node_address peer);
    void fetchTargets(node_address peer, instant confirmedAt);
    void heardConfig(node_address peer, const mesh_knowledge &theirs, instant now);
    void heardTargets(node_address peer, const mesh_knowledge &theirs, instant now);
    void readTargets(instant now);
    void readConfig(instant now);
    void watchConfig(instant now);
    void takeConfig(const store_document &document, std::string_view source);
    void takeTargets(target_snapshot snapshot, std::string_view source, instant confirmedAt, instant now);
    void storeAnswered(std::string_view call);
    void storeFailed(std::string_view call, const error &problem);

    store_calls m_store;
    peer_fetch m_fetch;
    config_handler m_onConfig;
    targets_handler m_onTargets;
    instant m_firstReadAt;
    std::shared_ptr<const active_config> m_config;
    store_document m_document;
    confirmation m_configConfirmation;
    bool m_isFetchingConfig = false;
    std::uint64_t m_watchAfter = 0; ///< Revision up to which the document is known whole; zero before the first read.
    reading_schedule m_configReads;
    target_snapshot m_targets;
    std::uint64_t m_digest = 0;
    bool m_hasTargets = false;
    bool m_isFetchingTargets = false;
    confirmation m_targetsConfirmation;
    reading_schedule m_targetReads;
    missing_target_guard m_guard;
    bool m_isStoreLost = false;
};

} // namespace flamingofield
