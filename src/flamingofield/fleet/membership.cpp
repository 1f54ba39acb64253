#include "fleet/membership.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <cmath>

namespace flamingofield {

namespace {

constexpr std::size_t indirectPeers = 3;
constexpr seconds exchangeAfter{2}; // Of differing digests.
constexpr seconds exchangePeriod{5};
constexpr std::size_t hintsPerContact = 3;

bool isLive(const member_row &row)
{
    return row.record.state == node_state::alive || row.record.state == node_state::suspect;
}

/// Says whether a record is news against the row that is held.
bool isNewer(const node_record &heard, const node_record &held)
{
    if (heard.counter != held.counter) {
        return heard.counter > held.counter;
    }
    return heard.state > held.state;
}

std::string nodeName(const node_info &info)
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

int membership::transmissions() const
{
    return 3 + static_cast<int>(3.0 * std::log2(static_cast<double>(m_rows.size()) + 1.0));
}

void membership::setHints(std::vector<endpoint> hints)
{
    m_hints = std::move(hints);
}

void membership::setState(member_row &row, node_state state, instant now)
{
    if (row.record.state != state) {
        row.record.state = state;
        row.since = now;
        m_changes.push_back(row.record);
        m_mustSpread = true;
    }
    row.transmissionsLeft = transmissions();
}

void membership::hear(const node_record &record, instant now)
{
    if (record.info.incarnation == m_self.incarnation) {
        const bool isAccused = record.state == node_state::suspect || record.state == node_state::dead;
        if (isAccused && record.counter >= m_counter) {
            m_counter = record.counter + 1;
            m_selfTransmissions = transmissions();
            m_mustSpread = true;
        }
        return;
    }
    if (record.info.peerAddress == m_self.peerAddress) {
        return; // A process that had this address before.
    }
    const auto found = m_rows.find(record.info.incarnation);
    if (found == m_rows.end()) {
        if (record.state == node_state::dead || record.state == node_state::left) {
            return;
        }
        for (auto &[incarnation, row] : m_rows) {
            // One address holds one process; a new incarnation replaces the old one.
            if (row.record.info.peerAddress == record.info.peerAddress && isLive(row)) {
                setState(row, node_state::dead, now);
            }
        }
        member_row row{record, now, now, transmissions()};
        m_changes.push_back(record);
        m_rows.emplace(record.info.incarnation, std::move(row));
        m_mustSpread = true;
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
    const bool leavingChanged = record.info.isLeaving != row.record.info.isLeaving;
    row.record.info.isLeaving = record.info.isLeaving;
    row.record.counter = record.counter;
    setState(row, record.state, now);
    if (leavingChanged) {
        m_changes.push_back(row.record);
        m_mustSpread = true;
    }
}

bool membership::hearSender(const node_record &sender, instant now)
{
    hear(sender, now);
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

void membership::hearAck(std::uint64_t sequence)
{
    m_pending.erase(sequence);
}

void membership::hearDigest(std::uint64_t sender, std::uint64_t digest, instant now)
{
    if (digest == this->digest()) {
        m_differsSince.erase(sender);
        return;
    }
    const auto [since, added] = m_differsSince.emplace(sender, now);
    const member_row *row = find(sender);
    if (row != nullptr && now - since->second > exchangeAfter && now >= m_nextExchange) {
        m_exchangeWith.push_back(row->record.info.peerAddress);
        m_nextExchange = now + exchangePeriod;
        m_differsSince.erase(since);
    }
}

void membership::notePipeClosed(const endpoint &peer)
{
    m_closedPipes.push_back(peer);
}

void membership::leave()
{
    m_self.isLeaving = true;
    ++m_counter;
    m_selfTransmissions = transmissions();
    m_mustSpread = true;
}

node_record membership::self(instant now) const
{
    node_record record{m_self, node_state::alive, m_counter};
    if (m_startedAt != instant()) {
        record.info.epoch = static_cast<std::uint32_t>(std::chrono::duration_cast<seconds>(now - m_startedAt).count());
    }
    return record;
}

std::vector<node_record> membership::takePiggyback(std::size_t most)
{
    std::vector<member_row *> fresh;
    for (auto &[incarnation, row] : m_rows) {
        if (row.transmissionsLeft > 0) {
            fresh.push_back(&row);
        }
    }
    std::sort(fresh.begin(), fresh.end(), [](const auto *a, const auto *b) { return a->transmissionsLeft > b->transmissionsLeft; });
    std::vector<node_record> records;
    for (std::size_t i = 0; i < std::min(most, fresh.size()); ++i) {
        --fresh[i]->transmissionsLeft;
        records.push_back(fresh[i]->record);
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
        digest ^= isLive(row) ? hashOf(toHex(incarnation)) : 0;
    }
    return digest;
}

std::vector<endpoint> membership::neighbours() const
{
    std::vector<std::pair<std::uint64_t, endpoint>> ring;
    for (const auto &[incarnation, row] : m_rows) {
        if (isLive(row)) {
            ring.emplace_back(hashOf(nodeName(row.record.info)), row.record.info.peerAddress);
        }
    }
    const std::uint64_t own = hashOf(nodeName(m_self));
    std::sort(ring.begin(), ring.end(), [&](const auto &a, const auto &b) { return a.first - own < b.first - own; });
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
    m_pending.emplace(sequence, pending_heartbeat{row.record.info.incarnation, now, false});
    actions.push_back(send_heartbeat{row.record.info.peerAddress, sequence, false});
}

void membership::sendNext(instant now, std::vector<membership_action> &actions)
{
    for (const auto &peer : m_closedPipes) {
        for (const auto &[incarnation, row] : m_rows) {
            if (row.record.state == node_state::alive && row.record.info.peerAddress == peer) {
                beginHeartbeat(row, now, actions);
            }
        }
    }
    m_closedPipes.clear();
    if (now < m_nextHeartbeat) {
        return;
    }
    m_nextHeartbeat = now + m_timing.period;
    const std::vector<endpoint> near = neighbours();
    if (near.empty()) {
        return;
    }
    const endpoint &next = near[m_turn++ % near.size()];
    for (const auto &[incarnation, row] : m_rows) {
        if (isLive(row) && row.record.info.peerAddress == next) {
            beginHeartbeat(row, now, actions);
            return;
        }
    }
}

void membership::checkPending(instant now, std::vector<membership_action> &actions)
{
    std::vector<std::uint64_t> ended;
    for (auto &[sequence, pending] : m_pending) {
        const auto found = m_rows.find(pending.target);
        if (found == m_rows.end() || !isLive(found->second)) {
            ended.push_back(sequence);
            continue;
        }
        if (now - pending.sentAt > m_timing.suspectAfter) {
            if (found->second.record.state == node_state::alive) {
                setState(found->second, node_state::suspect, now);
            }
            ended.push_back(sequence);
        } else if (!pending.hasIndirect && now - pending.sentAt > m_timing.ackTimeout) {
            pending.hasIndirect = true;
            const std::vector<member_row> others = live(false);
            for (std::size_t i = 0; i < std::min(indirectPeers, others.size()); ++i) {
                const node_info &via = others[random() % others.size()].record.info;
                if (via.incarnation != pending.target) {
                    actions.push_back(send_indirect{via.peerAddress, sequence, pending.target});
                }
            }
        }
    }
    for (const auto sequence : ended) {
        m_pending.erase(sequence);
    }
}

void membership::checkSuspects(instant now, std::vector<membership_action> &actions)
{
    for (auto &[incarnation, row] : m_rows) {
        if (row.record.state == node_state::suspect && now - row.since > m_timing.deadAfter) {
            setState(row, node_state::dead, now);
        }
    }
    for (const auto &peer : m_exchangeWith) {
        actions.push_back(send_records{peer, true});
    }
    m_exchangeWith.clear();
}

void membership::contactHints(instant now, std::vector<membership_action> &actions)
{
    if (now < m_nextContact || m_hints.empty()) {
        return;
    }
    const bool isAlone = live(true).empty();
    m_nextContact = now + (isAlone ? m_timing.period : m_timing.contactPeriod);
    std::vector<endpoint> unknown;
    for (const auto &hint : m_hints) {
        const bool isKnown = std::any_of(m_rows.begin(), m_rows.end(), [&](const auto &entry) {
            return isLive(entry.second) && entry.second.record.info.peerAddress == hint;
        });
        if (!isKnown && !(hint == m_self.peerAddress)) {
            unknown.push_back(hint);
        }
    }
    const std::size_t most = isAlone ? hintsPerContact : 1;
    for (std::size_t i = 0; i < std::min(most, unknown.size()); ++i) {
        actions.push_back(send_heartbeat{unknown[random() % unknown.size()], ++m_sequence, true});
    }
}

void membership::spread(std::vector<membership_action> &actions)
{
    if (!m_mustSpread) {
        return;
    }
    m_mustSpread = false;
    for (const auto &peer : neighbours()) {
        actions.push_back(send_records{peer, false});
    }
}

void membership::forgetOld(instant now)
{
    for (auto it = m_rows.begin(); it != m_rows.end();) {
        const bool isOld = !isLive(it->second) && now - it->second.since > m_timing.forgetAfter;
        it = isOld ? m_rows.erase(it) : std::next(it);
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
    sendNext(now, actions);
    contactHints(now, actions);
    spread(actions);
    forgetOld(now);
    return actions;
}

} // namespace flamingofield
