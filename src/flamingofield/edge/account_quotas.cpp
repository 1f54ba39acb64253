#include "edge/account_quotas.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

/// Interval between messages of a hub without changes; several of them fit into usage_peers::hearingTime.
constexpr milliseconds idleInterval{300};
/// Interval between complete reports, which make up for lost messages.
constexpr milliseconds completeInterval{1000};
/// A node that is no hub asks for the usage of the others if it reports more rows than this in a second. Below, the single requests that
/// operators send to every node would make all hubs report to all nodes.
constexpr std::size_t busyRowsPerSecond = 5;

} // namespace

account_quotas::account_quotas(node_address self, std::uint64_t incarnation, bool expectsOthers, sender send, instant startedAt)
    : m_self(self)
    , m_incarnation(incarnation)
    , m_send(std::move(send))
    , m_table(startedAt)
    , m_peers(expectsOthers, startedAt)
{
}

void account_quotas::setRules(const quota_rules &rules)
{
    m_table.setRules(rules);
    m_peers.setRules(rules);
}

void account_quotas::setAccounts(std::shared_ptr<const account_directory> accounts, instant now)
{
    m_table.setAccounts(std::move(accounts), now);
}

void account_quotas::setHubs(const std::vector<mesh_member> &hubs, bool isSelfHub, instant now)
{
    m_isHub = isSelfHub;
    std::vector<std::uint64_t> others;
    others.reserve(hubs.size());
    for (const mesh_member &hub : hubs) {
        if (hub.address != m_self) {
            others.push_back(hub.address);
        }
    }
    m_peers.setHubs(others, isSelfHub, now);
}

void account_quotas::handleMessage(const usage_message &message, instant now)
{
    if (message.sender == m_self) {
        return;
    }
    m_peers.recordMessage(message.sender, message.state, now);
    m_table.setShare(m_peers.share(now), now);
    m_table.applyPeerUsage(message.sender, message.incarnation, message.usages, now);
}

bool account_quotas::wantsReports(instant now) const
{
    return !m_isHub && m_busyAt != instant{} && now - m_busyAt <= usage_peers::requestTime;
}

void account_quotas::tick(instant now)
{
    if (!m_table.hasLimits()) {
        return;
    }
    m_table.setShare(m_peers.share(now), now);
    if (now - m_idleRemovedAt >= completeInterval) {
        m_idleRemovedAt = now;
        m_table.removeIdle(now);
    }
    if (m_isLeaving || now - m_sentAt < usageInterval) {
        return;
    }
    std::vector<account_usage> changed = m_table.takeChangedUsage();
    if (now - m_countedAt > seconds(1)) {
        m_countedAt = now;
        m_recentChanges = 0;
    }
    m_recentChanges += changed.size();
    m_busyAt = m_recentChanges > busyRowsPerSecond ? now : m_busyAt;
    const bool takesPart = m_isHub || wantsReports(now);
    if (takesPart && now - m_allSentAt >= completeInterval) {
        m_allSentAt = now;
        send(m_table.allUsage(), now);
    } else if (!changed.empty() || (takesPart && now - m_sentAt >= idleInterval)) {
        send(std::move(changed), now);
    }
}

void account_quotas::leave(instant now)
{
    if (m_table.hasLimits() && !m_isLeaving) {
        m_isLeaving = true;
        send(m_table.allUsage(), now);
    }
}

void account_quotas::send(std::vector<account_usage> usages, instant now)
{
    m_sentAt = now;
    usage_message message;
    message.sender = m_self;
    message.incarnation = m_incarnation;
    message.state = {m_isHub, m_isLeaving, wantsReports(now)};
    const std::vector<std::uint64_t> recipients = m_peers.recipients(now);
    for (std::size_t first = 0; first == 0 || first < usages.size(); first += usage_message::maxUsages) {
        const std::size_t end = std::min(usages.size(), first + usage_message::maxUsages);
        message.usages.assign(usages.begin() + static_cast<std::ptrdiff_t>(first), usages.begin() + static_cast<std::ptrdiff_t>(end));
        const std::string bytes = encode(message);
        for (const std::uint64_t recipient : recipients) {
            m_send(static_cast<node_address>(recipient), bytes);
        }
    }
}

} // namespace flamingofield
