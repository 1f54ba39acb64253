#include "fleet/membership.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <cmath>

namespace flamingofield {

namespace {

constexpr std::size_t indirectPeers = 3;
constexpr seconds fullSyncDelay{2}; // Digests must differ this long before all records are sent.
constexpr seconds fullSyncPeriod{5}; // Least time between two full syncs that this node starts.
constexpr std::size_t candidatesPerContact = 3;

bool isAliveOrSuspect(const member_row &row)
{
    return row.record.state == node_state::alive || row.record.state == node_state::suspect;
}

/// Whether a received record supersedes the known one: by record version, then by state.
bool isNewer(const node_record &received, const node_record &known)
{
    if (received.recordVersion != known.recordVersion) {
        return received.recordVersion > known.recordVersion;
    }
    return received.state > known.state;
}

std::string ringKey(const node_info &info)
{
    return toString(info.peerAddress) + "/" + toHex(info.incarnation);
}

} // namespace

membership::membership(node_info self, membership_timing timing, std::uint64_t seed)
    : m_self(std::move(self))
    , m_timing(timing)
    , m_randomState(seed | 1U)
{
}

std::uint64_t membership::random()
{
    m_randomState ^= m_randomState << 13U;
    m_randomState ^= m_randomState >> 7U;
    m_randomState ^= m_randomState << 17U;
    return m_randomState;
}

int membership::maxTransmissions() const
{
    return 3 + static_cast<int>(3.0 * std::log2(static_cast<double>(m_rows.size()) + 1.0));
}

void membership::setCandidates(std::vector<endpoint> candidates)
{
    m_candidates = std::move(candidates);
}

void membership::setState(member_row &row, node_state state, instant now)
{
    if (row.record.state != state) {
        row.record.state = state;
        row.stateSince = now;
        m_changes.push_back(row.record);
        m_hasUnsentChanges = true;
    }
    row.transmissionsLeft = maxTransmissions();
}

void membership::mergeRecord(const node_record &record, instant now)
{
    if (record.info.incarnation == m_self.incarnation) {
        const bool isSuspectedOrDead = record.state == node_state::suspect || record.state == node_state::dead;
        if (isSuspectedOrDead && record.recordVersion >= m_recordVersion) {
            m_recordVersion = record.recordVersion + 1;
            m_selfTransmissions = maxTransmissions();
            m_hasUnsentChanges = true;
        }
        return;
    }
    if (record.info.peerAddress == m_self.peerAddress) {
        return; // An earlier process at this node's address.
    }
    const auto found = m_rows.find(record.info.incarnation);
    if (found == m_rows.end()) {
        if (record.state == node_state::dead || record.state == node_state::left) {
            return;
        }
        for (auto &[incarnation, row] : m_rows) {
            // Only one process can listen on an address, so a new incarnation means that the old process has ended.
            if (row.record.info.peerAddress == record.info.peerAddress && isAliveOrSuspect(row)) {
                setState(row, node_state::dead, now);
            }
        }
        member_row row{record, now, now, maxTransmissions()};
        m_changes.push_back(record);
        m_rows.emplace(record.info.incarnation, std::move(row));
        m_hasUnsentChanges = true;
        return;
    }
    member_row &row = found->second;
    if (record.info.epoch > row.record.info.epoch) {
        row.record.info.epoch = record.info.epoch;
        row.epochAt = now;
    }
    if (!isNewer(record, row.record)) {
        return;
    }
    const bool hasLeavingChanged = record.info.isLeaving != row.record.info.isLeaving;
    row.record.info.isLeaving = record.info.isLeaving;
    row.record.recordVersion = record.recordVersion;
    setState(row, record.state, now);
    if (hasLeavingChanged) {
        m_changes.push_back(row.record);
        m_hasUnsentChanges = true;
    }
}

bool membership::mergeSender(const node_record &sender, instant now)
{
    mergeRecord(sender, now);
    const auto found = m_rows.find(sender.info.incarnation);
    if (found == m_rows.end()) {
        return false;
    }
    member_row &row = found->second;
    if (row.record.state == node_state::suspect || row.record.state == node_state::dead) {
        row.transmissionsLeft = std::max(row.transmissionsLeft, 1);
        return true;
    }
    return false;
}

void membership::handleAck(std::uint64_t sequence)
{
    m_pendingHeartbeats.erase(sequence);
}

void membership::compareDigest(std::uint64_t sender, std::uint64_t digest, instant now)
{
    if (digest == this->digest()) {
        m_digestDiffersSince.erase(sender);
        return;
    }
    const auto [difference, added] = m_digestDiffersSince.emplace(sender, now);
    const member_row *row = find(sender);
    if (row != nullptr && now - difference->second > fullSyncDelay && now >= m_nextFullSync) {
        m_fullSyncPeers.push_back(row->record.info.peerAddress);
        m_nextFullSync = now + fullSyncPeriod;
        m_digestDiffersSince.erase(difference);
    }
}

void membership::handleConnectionClosed(const endpoint &peer)
{
    m_closedConnections.push_back(peer);
}

void membership::leave()
{
    m_self.isLeaving = true;
    ++m_recordVersion;
    m_selfTransmissions = maxTransmissions();
    m_hasUnsentChanges = true;
}

node_record membership::self(instant now) const
{
    node_record record{m_self, node_state::alive, m_recordVersion};
    if (m_startedAt != instant()) {
        record.info.epoch = static_cast<std::uint32_t>(std::chrono::duration_cast<seconds>(now - m_startedAt).count());
    }
    return record;
}

std::vector<node_record> membership::takePiggyback(std::size_t limit)
{
    std::vector<member_row *> due;
    for (auto &[incarnation, row] : m_rows) {
        if (row.transmissionsLeft > 0) {
            due.push_back(&row);
        }
    }
    std::sort(due.begin(), due.end(), [](const auto *a, const auto *b) { return a->transmissionsLeft > b->transmissionsLeft; });
    std::vector<node_record> records;
    for (std::size_t i = 0; i < std::min(limit, due.size()); ++i) {
        --due[i]->transmissionsLeft;
        records.push_back(due[i]->record);
    }
    return records;
}

std::vector<node_record> membership::allRecords() const
{
    std::vector<node_record> records;
    for (const auto &[incarnation, row] : m_rows) {
        records.push_back(row.record);
    }
    return records;
}

std::vector<member_row> membership::live(bool withSuspects) const
{
    std::vector<member_row> rows;
    for (const auto &[incarnation, row] : m_rows) {
        if (row.record.state == node_state::alive || (withSuspects && row.record.state == node_state::suspect)) {
            rows.push_back(row);
        }
    }
    std::sort(rows.begin(), rows.end(), [](const auto &a, const auto &b) { return a.record.info.incarnation < b.record.info.incarnation; });
    return rows;
}

const member_row *membership::find(std::uint64_t incarnation) const
{
    const auto found = m_rows.find(incarnation);
    return found == m_rows.end() ? nullptr : &found->second;
}

std::uint64_t membership::digest() const
{
    std::uint64_t digest = hashOf(toHex(m_self.incarnation));
    for (const auto &[incarnation, row] : m_rows) {
        digest ^= isAliveOrSuspect(row) ? hashOf(toHex(incarnation)) : 0;
    }
    return digest;
}

std::vector<endpoint> membership::neighbours() const
{
    std::vector<std::pair<std::uint64_t, endpoint>> ring;
    for (const auto &[incarnation, row] : m_rows) {
        if (isAliveOrSuspect(row)) {
            ring.emplace_back(hashOf(ringKey(row.record.info)), row.record.info.peerAddress);
        }
    }
    const std::uint64_t ownHash = hashOf(ringKey(m_self));
    std::sort(ring.begin(), ring.end(), [&](const auto &a, const auto &b) { return a.first - ownHash < b.first - ownHash; });
    std::vector<endpoint> chosen;
    for (std::size_t distance = 1; distance <= ring.size(); distance *= 2) {
        chosen.push_back(ring[distance - 1].second);
    }
    return chosen;
}

std::vector<node_record> membership::takeChanges()
{
    std::vector<node_record> changes;
    changes.swap(m_changes);
    return changes;
}

void membership::beginHeartbeat(const member_row &row, instant now, std::vector<membership_action> &actions)
{
    const std::uint64_t sequence = ++m_sequence;
    m_pendingHeartbeats.emplace(sequence, pending_heartbeat{row.record.info.incarnation, now, false});
    actions.push_back(send_heartbeat{row.record.info.peerAddress, sequence, false});
}

void membership::sendHeartbeats(instant now, std::vector<membership_action> &actions)
{
    for (const auto &peer : m_closedConnections) {
        for (const auto &[incarnation, row] : m_rows) {
            if (row.record.state == node_state::alive && row.record.info.peerAddress == peer) {
                beginHeartbeat(row, now, actions);
            }
        }
    }
    m_closedConnections.clear();
    if (now < m_nextHeartbeat) {
        return;
    }
    m_nextHeartbeat = now + m_timing.period;
    const std::vector<endpoint> targets = neighbours();
    if (targets.empty()) {
        return;
    }
    const endpoint &next = targets[m_nextNeighbour++ % targets.size()];
    for (const auto &[incarnation, row] : m_rows) {
        if (isAliveOrSuspect(row) && row.record.info.peerAddress == next) {
            beginHeartbeat(row, now, actions);
            return;
        }
    }
}

void membership::checkPending(instant now, std::vector<membership_action> &actions)
{
    std::vector<std::uint64_t> finished;
    for (auto &[sequence, pending] : m_pendingHeartbeats) {
        const auto found = m_rows.find(pending.target);
        if (found == m_rows.end() || !isAliveOrSuspect(found->second)) {
            finished.push_back(sequence);
            continue;
        }
        if (now - pending.sentAt > m_timing.suspectAfter) {
            if (found->second.record.state == node_state::alive) {
                setState(found->second, node_state::suspect, now);
            }
            finished.push_back(sequence);
        } else if (!pending.hasSentIndirect && now - pending.sentAt > m_timing.ackTimeout) {
            pending.hasSentIndirect = true;
            const std::vector<member_row> others = live(false);
            for (std::size_t i = 0; i < std::min(indirectPeers, others.size()); ++i) {
                const node_info &via = others[random() % others.size()].record.info;
                if (via.incarnation != pending.target) {
                    actions.push_back(send_indirect_heartbeat{via.peerAddress, sequence, pending.target});
                }
            }
        }
    }
    for (const auto sequence : finished) {
        m_pendingHeartbeats.erase(sequence);
    }
}

void membership::checkSuspects(instant now, std::vector<membership_action> &actions)
{
    for (auto &[incarnation, row] : m_rows) {
        if (row.record.state == node_state::suspect && now - row.stateSince > m_timing.deadAfter) {
            setState(row, node_state::dead, now);
        }
    }
    for (const auto &peer : m_fullSyncPeers) {
        actions.push_back(send_records{peer, true});
    }
    m_fullSyncPeers.clear();
}

void membership::contactCandidates(instant now, std::vector<membership_action> &actions)
{
    if (now < m_nextContact || m_candidates.empty()) {
        return;
    }
    const bool hasNoPeers = live(true).empty();
    m_nextContact = now + (hasNoPeers ? m_timing.period : m_timing.contactPeriod);
    std::vector<endpoint> notLive;
    for (const auto &candidate : m_candidates) {
        const bool isLiveNode = std::any_of(m_rows.begin(), m_rows.end(), [&](const auto &entry) {
            return isAliveOrSuspect(entry.second) && entry.second.record.info.peerAddress == candidate;
        });
        if (!isLiveNode && !(candidate == m_self.peerAddress)) {
            notLive.push_back(candidate);
        }
    }
    const std::size_t contacts = hasNoPeers ? candidatesPerContact : 1;
    for (std::size_t i = 0; i < std::min(contacts, notLive.size()); ++i) {
        actions.push_back(send_heartbeat{notLive[random() % notLive.size()], ++m_sequence, true});
    }
}

void membership::sendChanges(std::vector<membership_action> &actions)
{
    if (!m_hasUnsentChanges) {
        return;
    }
    m_hasUnsentChanges = false;
    for (const auto &peer : neighbours()) {
        actions.push_back(send_records{peer, false});
    }
}

void membership::removeExpired(instant now)
{
    for (auto it = m_rows.begin(); it != m_rows.end();) {
        const bool hasExpired = !isAliveOrSuspect(it->second) && now - it->second.stateSince > m_timing.removeAfter;
        it = hasExpired ? m_rows.erase(it) : std::next(it);
    }
}

std::vector<membership_action> membership::tick(instant now)
{
    if (m_startedAt == instant()) {
        m_startedAt = now - seconds(m_self.epoch);
    }
    std::vector<membership_action> actions;
    checkPending(now, actions);
    checkSuspects(now, actions);
    sendHeartbeats(now, actions);
    contactCandidates(now, actions);
    sendChanges(actions);
    removeExpired(now);
    return actions;
}

} // namespace flamingofield
