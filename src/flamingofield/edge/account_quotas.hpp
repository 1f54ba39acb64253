#pragma once

#include "accounts/quota_table.hpp"
#include "accounts/usage_peers.hpp"
#include "mesh/member_table.hpp"
#include "mesh/usage_message.hpp"

#include <functional>
#include <string>

namespace flamingofield {

/// The quotas of client accounts at one node: the table, the nodes that exchange usage, and when messages are due. Does nothing while the
/// configuration has no quotas. Runs on the event loop, reads no clock.
class account_quotas
{
public:
    using sender = std::function<void(node_address, const std::string &bytes)>;

    /// @param self address of this node
    /// @param expectsOthers the fleet is meant to have other nodes
    account_quotas(node_address self, std::uint64_t incarnation, bool expectsOthers, sender send, instant startedAt);

    void setRules(const quota_rules &rules);
    void setAccounts(std::shared_ptr<const account_directory> accounts, instant now);

    /// Takes up the ready hubs of the fleet.
    /// @param isSelfHub this node is one of them
    void setHubs(const std::vector<mesh_member> &hubs, bool isSelfHub, instant now);

    void handleMessage(const usage_message &message, instant now);

    /// Updates the share and sends the messages that are due.
    void tick(instant now);

    /// Tells the others that this node admits nothing more.
    void leave(instant now);

    quota_table &table()
    {
        return m_table;
    }
    quota_share share(instant now) const
    {
        return m_peers.share(now);
    }
    std::size_t missingPeers(instant now) const
    {
        return m_peers.missing(now);
    }

private:
    void send(std::vector<account_usage> usages, instant now);
    bool wantsReports(instant now) const;

    node_address m_self;
    std::uint64_t m_incarnation;
    sender m_send;
    quota_table m_table;
    usage_peers m_peers;
    bool m_isHub = false;
    bool m_isLeaving = false;
    instant m_sentAt{};
    instant m_allSentAt{};
    instant m_idleRemovedAt{};
    instant m_countedAt{}; ///< Start of the second in which m_recentChanges are counted.
    std::size_t m_recentChanges = 0;
    instant m_busyAt{}; ///< Last second with many admissions.
};

} // namespace flamingofield
