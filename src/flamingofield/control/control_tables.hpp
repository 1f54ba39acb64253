#pragma once

#include "config/store_client.hpp"
#include "control/config_keeper.hpp"
#include "control/control_plane.hpp"
#include "control/service_table.hpp"
#include "control/store_schedule.hpp"
#include "fleet/membership.hpp"
#include "fleet/peer_link.hpp"

#include <map>
#include <vector>

namespace flamingofield {

/// A health probe to send.
struct probe_order
{
    int row = 0;
    std::size_t target = 0;
    endpoint address;
};

/// What a health probe found.
struct probe_finding
{
    int row = 0;
    std::size_t target = 0;
    bool isDraining = false;
};

/// Tables of the control plane and the systems that run over them each tick. Called by one actor only.
class control_tables
{
public:
    control_tables(control_context context, peer_link &link);

    /// Runs all systems once.
    void tick(instant now);

    void receive(const std::string &bytes, const std::string &peer, instant now);
    void notePipeClosed(const endpoint &peer);
    void takeStoreAnswer(const result<std::optional<stored_text>> &answer, instant now);
    void takeVms(const result<std::vector<listed_vm>> &answer, instant now);
    void takeProbes(const std::vector<probe_finding> &findings, instant now);
    void leave(instant now);

    /// A read of the store that is due; it is then counted as running until its answer is taken.
    std::optional<read_order> takeDueRead(instant now);

    /// True once when the VM list should be read.
    bool takeDueVmRead(instant now);

    /// Health probes that are due from this node.
    std::vector<probe_order> takeDueProbes(instant now);

    std::string status(instant now) const;

private:
    void sendMessage(const endpoint &to, message_body body, std::vector<node_record> records, instant now);
    void perform(const std::vector<membership_action> &actions, instant now);
    void handleBody(const peer_message &message, instant now);
    void noteStamp(const peer_message &message, instant now);
    void noteOffer(offer_outcome outcome, const std::string &source, instant now);
    void requestConfig(instant now);
    void refreshMembers(instant now);
    void judgeServices(instant now);
    void sendReports(instant now);
    void publish(instant now);
    void logChanges(instant now);
    bool isReady(instant now) const;
    bool isReader(instant now) const;
    std::vector<node_info> liveNodes(instant now) const;
    void updateSchedule(instant now);

    control_context m_context;
    peer_link &m_link;
    config_keeper m_config;
    service_table m_services;
    membership m_members;
    instant m_startedAt;
    instant m_lastTick;
    bool m_isServing = false;
    instant m_servingSince;
    bool m_mustPublish = false;
    instant m_nextPublish;

    config_stamp m_highestHeard;
    endpoint m_highestHeardFrom;
    std::map<std::uint64_t, config_stamp> m_heardStamps;
    instant m_lastConfigRequest;

    store_schedule m_schedule;
    std::vector<listed_vm> m_vms;
    instant m_nextProbe;
    instant m_nextExpiry;
};

} // namespace flamingofield
