#include "accounts/usage_peers.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

/// A silent hub may still serve callers on its side of a cut. The larger side forgets it after a window; the others, which may be the
/// ones that are cut off, after this time. Hubs that were killed are usually back or replaced sooner.
constexpr seconds cutOffMemory{20};
/// A hub that leaves the list although it was heard within this time gave up its duty. The membership takes longer to notice that one
/// is silent. One that was never heard has admitted nothing.
constexpr milliseconds demotionSilence{700};

} // namespace

bool usage_peers::isHeard(const peer_state &peer, instant now) const
{
    return peer.heardAt != instant{} && now - peer.heardAt <= hearingTime;
}

void usage_peers::setHubs(const std::vector<std::uint64_t> &hubs, bool isSelfHub, instant now)
{
    m_isSelfHub = isSelfHub;
    const auto isListedNow = [&](std::uint64_t address) { return std::find(hubs.begin(), hubs.end(), address) != hubs.end(); };
    for (auto &[address, peer] : m_peers) {
        if (peer.isListed && !isListedNow(address)) {
            peer.isListed = false;
            peer.isHub = peer.heardAt != instant{} && now - peer.heardAt > demotionSilence;
        }
    }
    for (const std::uint64_t hub : hubs) {
        peer_state &peer = m_peers[hub];
        peer.isListed = true;
        peer.isHub = true;
        peer.hubUntil = now;
    }
    for (auto each = m_peers.begin(); each != m_peers.end();) {
        const peer_state &peer = each->second;
        const bool isForgotten = !peer.isListed && now - std::max(peer.hubUntil, peer.heardAt) > cutOffMemory;
        each = isForgotten ? m_peers.erase(each) : std::next(each);
    }
}

void usage_peers::recordMessage(std::uint64_t peer, const usage_sender &sender, instant now)
{
    m_hasHeard = true;
    m_heardAt = now;
    peer_state &state = m_peers[peer];
    state.heardAt = sender.isLeaving ? instant{} : now;
    state.isHub = sender.isHub && !sender.isLeaving;
    state.hubUntil = state.isHub ? now : instant{};
    state.requestedAt = sender.wantsReports ? now : instant{};
}

std::size_t usage_peers::heard(instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &each) { return isHeard(each.second, now); }));
}

std::size_t usage_peers::missing(instant now) const
{
    const auto silentSince = [&](duration memory) {
        return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &each) {
            const peer_state &peer = each.second;
            return !isHeard(peer, now) && peer.isHub && (peer.isListed || now - std::max(peer.hubUntil, peer.heardAt) <= memory);
        }));
    };
    const std::size_t recent = silentSince(m_rules.window);
    const std::size_t all = silentSince(cutOffMemory);
    return heard(now) + 1 > all ? recent : all;
}

quota_share usage_peers::share(instant now) const
{
    const std::size_t heardNodes = heard(now);
    const std::size_t missingNodes = missing(now);
    const std::size_t nodes = heardNodes + 1;
    if (heardNodes > 0) {
        const auto part = [&](std::size_t known) { return static_cast<double>(known) / static_cast<double>(known + missingNodes); };
        return {part(nodes), nodes, part(heardNodes), true};
    }
    const bool mayBeCutOff = m_expectsOthers && !m_hasHeard && now - m_startedAt <= cutOffMemory;
    if (missingNodes == 0 && !mayBeCutOff && (m_isSelfHub || m_peers.empty())) {
        return {};
    }
    const bool isStillCounted = m_hasHeard && now - m_heardAt <= m_rules.window;
    if (isStillCounted) {
        return {1.0 / static_cast<double>(missingNodes + 1), 1, 0.0, false};
    }
    // The others may use the whole rate by now, so all nodes that hear nobody must stay within a part of the overshoot.
    return {m_rules.overshoot / 2.0 / static_cast<double>(missingNodes + 1), 1, 0.0, false};
}

std::vector<std::uint64_t> usage_peers::recipients(instant now) const
{
    std::vector<std::uint64_t> addresses;
    for (const auto &[address, peer] : m_peers) {
        const bool wantsReports = peer.requestedAt != instant{} && now - peer.requestedAt <= requestTime;
        const bool isHub = peer.isListed || (peer.isHub && isHeard(peer, now));
        if (isHub || wantsReports) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

} // namespace flamingofield
