#pragma once

#include "config/store_client.hpp"
#include "control/config_manager.hpp"
#include "control/control_plane.hpp"
#include "control/service_table.hpp"
#include "control/store_schedule.hpp"
#include "fleet/membership.hpp"
#include "fleet/peer_transport.hpp"

#include <map>
#include <vector>

namespace flamingofield {

/// A health probe to send.
struct probe_request
{
    int serviceNumber = 0; ///< Index in the service table.
    std::size_t target = 0; ///< Index in the service's row.
    endpoint address;
};

/// Result of a health probe that was answered.
struct probe_result
{
    int serviceNumber = 0;
    std::size_t target = 0;
    bool isDraining = false;
};

/// State and decisions of the control plane: membership, configuration, services and the schedule of store reads. Called by one
/// actor only, so it needs no locks; it sends to peers, but leaves reads of the store and probes to its caller.
class node_controller
{
public:
    node_controller(control_context context, peer_transport &transport);

    /// Evaluates targets, detects failed nodes, and sends and publishes what is due.
    void tick(instant now);

    /// Decodes a message of a peer and applies it.
    /// @param peer address that the message came from
    void receive(const std::string &bytes, const std::string &peer, instant now);
    void handleConnectionClosed(const endpoint &peer);
    /// @param answer the text that was read, none if the store has no newer one, or why the read failed
    void handleConfigRead(const result<std::optional<stored_config>> &answer, instant now);
    void handleVmList(const result<std::vector<listed_vm>> &answer, instant now);
    void handleProbeResults(const std::vector<probe_result> &results, instant now);
    void leave(instant now);

    /// A read of the configuration that is due; it counts as running until handleConfigRead is called.
    std::optional<store_read_request> takeDueRead(instant now);

    /// Whether a read of the VM list is due; it counts as running until handleVmList is called.
    bool takeDueVmRead(instant now);

    /// Health probes that are due from this node.
    std::vector<probe_request> takeDueProbes(instant now);

    std::string status(instant now) const;

private:
    void sendMessage(const endpoint &to, message_body body, std::vector<node_record> records, instant now);
    void execute(const std::vector<membership_action> &actions, instant now);
    void handleBody(const peer_message &message, instant now);
    void recordPeerStamp(const peer_message &message, instant now);
    void handleOfferOutcome(offer_outcome outcome, const std::string &source, instant now);
    void requestConfig(instant now);
    void refreshMembers(instant now);
    void evaluateTargets(instant now);
    void sendReports(instant now);
    void publish(instant now);
    void logChanges(instant now);
    bool isReady(instant now) const;
    bool isReader(instant now) const;
    std::vector<node_info> liveNodes(instant now) const;
    void updateReadRole(instant now);

    control_context m_context;
    peer_transport &m_transport;
    config_manager m_configManager;
    service_table m_services;
    membership m_members;
    instant m_startedAt;
    instant m_lastTick;
    bool m_isServing = false;
    instant m_servingSince;
    bool m_mustPublish = false;
    instant m_nextPublish;

    config_stamp m_highestPeerStamp;
    endpoint m_highestStampPeer;
    std::map<std::uint64_t, config_stamp> m_peerStamps;
    instant m_lastConfigRequest;

    store_schedule m_schedule;
    std::vector<listed_vm> m_vms;
    instant m_nextProbe;
    instant m_nextExpiry;
};

} // namespace flamingofield
