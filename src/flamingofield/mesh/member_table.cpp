#include "mesh/member_table.hpp"

#include "core/hash.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

/// Between hubs of one data centre, where traffic is free; bounds the age of their counts of each other's requests in flight.
constexpr milliseconds localHubInterval{60};
/// From a non-hub with requests in flight to its hubs.
constexpr milliseconds busyNonHubToHubInterval{200};
/// Between hubs of different data centres, where traffic costs money.
constexpr milliseconds remoteHubInterval{200};
/// From a hub to the other nodes of its data centre; well below the two seconds within which changes must take effect.
constexpr milliseconds hubToNonHubInterval{250};
/// From idle non-hubs to their hubs; about a third of memberLease.
constexpr milliseconds nonHubToHubInterval{400};
/// To dead members that would be hubs, so that the end of a partition is detected.
constexpr milliseconds deadMemberInterval{1000};
/// Other dead members that are probed in each deadMemberInterval, in turn.
constexpr std::size_t probesPerInterval = 4;
/// Dead members of each data centre, the first in line, that are probed in each deadMemberInterval.
constexpr std::size_t deadHubCandidates = 2;
/// To seeds, while fewer than minLiveMembers members are live.
constexpr milliseconds seedInterval{200};
constexpr std::size_t minLiveMembers = 2;

/// Order in which members become hubs and store readers.
bool isPreferred(const mesh_member &a, const mesh_member &b)
{
    // Nodes that are not ready come last, so they become hubs only where no node is ready.
    if (a.isReady != b.isReady) {
        return a.isReady;
    }
    if (a.capacityMillicores != b.capacityMillicores) {
        return a.capacityMillicores > b.capacityMillicores;
    }
    const auto tieBreakerOf = [](const mesh_member &member) { return hashOf(std::to_string(member.address)); };
    return tieBreakerOf(a) < tieBreakerOf(b);
}

bool isSameDescription(const mesh_member &a, const mesh_member &b)
{
    return a.incarnation == b.incarnation && a.isReady == b.isReady && a.capacityMillicores == b.capacityMillicores
        && a.localHubs == b.localHubs && a.localNodes == b.localNodes && a.dataCentre == b.dataCentre;
}

instant lastKnownAt(const known_member &row)
{
    return std::max(row.lastReceivedAt, row.lastListedAt);
}

/// Number of members, from the first on, that have the given share of all members' capacity, each counted with the capacity of the
/// weakest.
std::size_t countForCapacityShare(const std::vector<const mesh_member *> &members, double share)
{
    double total = 0.0;
    for (const mesh_member *member : members) {
        total += member->capacityMillicores;
    }
    std::size_t count = 0;
    for (const mesh_member *member : members) {
        ++count;
        if (static_cast<double>(count) * member->capacityMillicores >= share * total) {
            break;
        }
    }
    return count;
}

} // namespace

member_table::member_table(mesh_member self, std::vector<node_address> seeds)
    : m_self(std::move(self))
    , m_seeds(std::move(seeds))
{
    m_seeds.erase(std::remove(m_seeds.begin(), m_seeds.end(), m_self.address), m_seeds.end());
}

void member_table::setReady(bool isReady)
{
    m_areRolesStale = m_areRolesStale || m_self.isReady != isReady;
    m_self.isReady = isReady;
}

bool member_table::isLive(const known_member &row, instant now) const
{
    if (row.isLeaving) {
        return false;
    }
    if (row.lastReceivedAt != instant{} && now - row.lastReceivedAt < memberLease) {
        return true;
    }
    const bool hasNotAnswered = row.awaitedSince != instant{} && now - row.awaitedSince >= memberLease;
    return row.lastListedAt != instant{} && now - row.lastListedAt < listedLease && !hasNotAnswered;
}

instant member_table::expiryOf(const known_member &row)
{
    const instant receivedExpiry = row.lastReceivedAt == instant{} ? instant{} : row.lastReceivedAt + memberLease;
    instant listedExpiry = row.lastListedAt == instant{} ? instant{} : row.lastListedAt + listedLease;
    if (row.awaitedSince != instant{}) {
        listedExpiry = std::min(listedExpiry, row.awaitedSince + memberLease);
    }
    return std::max(receivedExpiry, listedExpiry);
}

member_change member_table::applyMessage(const mesh_message &message, instant now)
{
    const mesh_member &sender = message.sender;
    if (sender.address == m_self.address) {
        return member_change::none;
    }
    known_member &row = m_rows[sender.address];
    const bool wasLive = isLive(row, now);
    const bool wasLeaving = row.isLeaving;
    if (sender.incarnation >= row.member.incarnation || !wasLive) {
        m_areRolesStale = m_areRolesStale || !wasLive || wasLeaving != message.isLeaving || !isSameDescription(row.member, sender);
        row.member = sender;
        row.isLeaving = message.isLeaving;
        row.lastReceivedAt = now;
        row.awaitedSince = row.awaitedSince == instant{} ? instant{} : now;
        row.isReportedLost = false;
    }
    for (const auto &listed : message.members) {
        applyListed(listed, now);
    }
    if (message.isLeaving) {
        return wasLeaving ? member_change::none : member_change::leaving;
    }
    return wasLive ? member_change::none : member_change::regained;
}

void member_table::applyListed(const mesh_member &listed, instant now)
{
    if (listed.address == m_self.address || milliseconds(listed.ageMs) >= listedLease) {
        return;
    }
    const instant listedAt = now - milliseconds(listed.ageMs);
    auto [position, isNew] = m_rows.try_emplace(listed.address);
    known_member &row = position->second;
    const bool wasLive = !isNew && isLive(row, now);
    const bool hasFreshMessage = row.lastReceivedAt != instant{} && now - row.lastReceivedAt < memberLease;
    if (hasFreshMessage && !(row.isLeaving && listed.incarnation > row.member.incarnation)) {
        return; // What the member says of itself is newer than what peers say.
    }
    const bool isNewer = listedAt > lastKnownAt(row);
    const bool isNewProcess = listed.incarnation > row.member.incarnation;
    const bool isSameProcess = listed.incarnation == row.member.incarnation && !row.isLeaving;
    // The incarnation is a time of day, which may have been set back before the restart of a member that is known to be dead.
    const bool isRestartedProcess = listed.incarnation < row.member.incarnation && !wasLive;
    if (!isNew && !isNewProcess && !(isNewer && (isSameProcess || isRestartedProcess))) {
        return;
    }
    if (isNew || isNewProcess || isRestartedProcess) {
        row.isLeaving = false;
        row.awaitedSince = instant{};
    }
    const bool isChanged = !isSameDescription(row.member, listed);
    row.member = listed;
    row.lastListedAt = std::max(row.lastListedAt, listedAt);
    m_areRolesStale = m_areRolesStale || isChanged || wasLive != isLive(row, now);
}

const member_table::member_roles &member_table::roles(instant now) const
{
    if (m_areRolesStale || now >= m_roles.validUntil) {
        m_roles = makeRoles(now);
        m_areRolesStale = false;
        ++m_rolesVersion;
    }
    return m_roles;
}

member_table::member_roles member_table::makeRoles(instant now) const
{
    member_roles made;
    made.validUntil = now + memberLease;
    made.dataCentres[m_self.dataCentre];
    for (const auto &[address, row] : m_rows) {
        if (isLive(row, now)) {
            made.dataCentres[row.member.dataCentre].preferred.push_back(&row);
            made.validUntil = std::min(made.validUntil, expiryOf(row));
            ++made.livePeers;
        }
    }
    for (auto &[name, dataCentre] : made.dataCentres) {
        std::sort(dataCentre.preferred.begin(), dataCentre.preferred.end(),
                  [](const known_member *a, const known_member *b) { return isPreferred(a->member, b->member); });
        assignHubs(name, dataCentre, made);
    }
    std::sort(made.hubs.begin(), made.hubs.end());
    std::sort(made.readyHubs.begin(), made.readyHubs.end(),
              [](const mesh_member &a, const mesh_member &b) { return a.address < b.address; });
    made.readerPosition = readerPositionIn(made);
    return made;
}

void member_table::assignHubs(const std::string &name, data_centre_roles &dataCentre, member_roles &roles) const
{
    std::vector<const mesh_member *> members;
    for (const known_member *row : dataCentre.preferred) {
        members.push_back(&row->member);
    }
    if (name == m_self.dataCentre) {
        members.insert(std::find_if(members.begin(), members.end(), [&](const auto *each) { return isPreferred(m_self, *each); }), &m_self);
    }
    if (members.empty()) {
        return;
    }
    // Only the first member knows all nodes of its data centre, and it says how many hubs they need.
    const mesh_member &first = *members.front();
    const bool isTold = &first != &m_self && first.localHubs > 0;
    const std::size_t count = isTold ? first.localHubs : countForCapacityShare(members, minHubCapacityShare);
    dataCentre.nodes = std::max<std::size_t>(members.size(), isTold ? first.localNodes : 0);
    for (std::size_t i = 0; i < std::min(count, members.size()); ++i) {
        dataCentre.hubs.push_back(members[i]->address);
        roles.hubs.push_back(members[i]->address);
        roles.isSelfHub = roles.isSelfHub || members[i] == &m_self;
        if (members[i]->isReady) {
            roles.readyHubs.push_back(*members[i]);
        }
    }
}

const mesh_member &member_table::memberAt(node_address address) const
{
    return address == m_self.address ? m_self : m_rows.at(address).member;
}

std::size_t member_table::readerPositionIn(const member_roles &roles) const
{
    const auto isBeforeSelf = [&](const mesh_member &member) { return isPreferred(member, m_self); };
    if (roles.isSelfHub) {
        return static_cast<std::size_t>(
            std::count_if(roles.hubs.begin(), roles.hubs.end(), [&](node_address hub) { return isBeforeSelf(memberAt(hub)); }));
    }
    const auto &local = roles.dataCentres.at(m_self.dataCentre).preferred;
    const auto before = std::count_if(local.begin(), local.end(), [&](const known_member *row) {
        return !isHubAddress(roles, row->member.address) && isBeforeSelf(row->member);
    });
    return roles.hubs.size() + static_cast<std::size_t>(before);
}

bool member_table::isHubAddress(const member_roles &roles, node_address address) const
{
    return std::binary_search(roles.hubs.begin(), roles.hubs.end(), address);
}

std::vector<node_address> member_table::hubsIn(const std::string &dataCentre, instant now) const
{
    const auto found = roles(now).dataCentres.find(dataCentre);
    return found == roles(now).dataCentres.end() ? std::vector<node_address>() : found->second.hubs;
}

const std::vector<mesh_member> &member_table::readyHubs(instant now) const
{
    return roles(now).readyHubs;
}

bool member_table::isHub(instant now) const
{
    return roles(now).isSelfHub;
}

std::size_t member_table::readerPosition(instant now) const
{
    return roles(now).readerPosition;
}

duration member_table::sendIntervalTo(const known_member &row, const member_roles &roles, bool isBusy, instant now) const
{
    const bool isLocal = row.member.dataCentre == m_self.dataCentre;
    if (!isLive(row, now)) {
        return row.isLeaving ? duration::max() : duration(deadMemberInterval);
    }
    const bool isPeerHub = isHubAddress(roles, row.member.address);
    if (isPeerHub && roles.isSelfHub) {
        return isLocal ? localHubInterval : remoteHubInterval;
    }
    if (roles.isSelfHub && isLocal) {
        return hubToNonHubInterval;
    }
    // Non-hubs have too few requests in flight to justify messages between data centres.
    return isPeerHub && isLocal ? duration(isBusy ? busyNonHubToHubInterval : nonHubToHubInterval) : duration::max();
}

void member_table::updateContacts(instant now)
{
    const member_roles &current = roles(now);
    if (m_contactsVersion == m_rolesVersion) {
        return;
    }
    m_contacts.clear();
    std::map<std::string, std::vector<known_member *>> dead;
    for (auto position = m_rows.begin(); position != m_rows.end();) {
        known_member &row = position->second;
        const bool isRowLive = isLive(row, now);
        const bool isLocal = row.member.dataCentre == m_self.dataCentre;
        if (row.awaitedSince != instant{} && !isRowLive && !row.isLeaving && !row.isReportedLost) {
            row.isReportedLost = true;
            m_lost.push_back(row.member.address);
        }
        // The silence of a member that should not send to this node says nothing, so there is no reason to probe it.
        const bool isForgotten = (!row.isReportedLost && !row.isLeaving) || now - lastKnownAt(row) > deadMemberRetention;
        if (!isRowLive && isForgotten) {
            position = m_rows.erase(position);
            continue;
        }
        row.isContact = isRowLive && sendIntervalTo(row, current, false, now) != duration::max();
        if (row.isContact) {
            m_contacts.push_back(&row);
            // Message schedules are symmetric: a live member to which this node sends also sends to this node.
            row.awaitedSince = row.awaitedSince == instant{} ? now : row.awaitedSince;
        } else if (isRowLive) {
            row.awaitedSince = instant{};
        } else if (!row.isLeaving && (isLocal || current.isSelfHub)) {
            dead[row.member.dataCentre].push_back(&row);
        }
        ++position;
    }
    for (auto &[name, rows] : dead) {
        const std::size_t count = std::min(rows.size(), deadHubCandidates);
        std::partial_sort(rows.begin(), rows.begin() + static_cast<std::ptrdiff_t>(count), rows.end(),
                          [](const known_member *a, const known_member *b) { return isPreferred(a->member, b->member); });
        m_contacts.insert(m_contacts.end(), rows.begin(), rows.begin() + static_cast<std::ptrdiff_t>(count));
    }
    m_contactsVersion = m_rolesVersion;
    const data_centre_roles &own = current.dataCentres.at(m_self.dataCentre);
    m_self.localHubs = current.isSelfHub ? static_cast<std::uint32_t>(own.hubs.size()) : 0;
    m_self.localNodes = current.isSelfHub ? static_cast<std::uint32_t>(own.nodes) : 0;
}

std::vector<node_address> member_table::takeDueRecipients(bool isBusy, instant now)
{
    updateContacts(now);
    const member_roles &current = m_roles;
    std::vector<node_address> due;
    for (known_member *row : m_contacts) {
        const duration interval = sendIntervalTo(*row, current, isBusy, now);
        if (interval == duration::max()) {
            continue;
        }
        // Messages to all followers of a hub are due at the same time, so that they are encoded once.
        const bool isDue = interval == hubToNonHubInterval
            ? now.time_since_epoch() / interval != row->lastSentAt.time_since_epoch() / interval
            : now - row->lastSentAt >= interval;
        if (isDue) {
            row->lastSentAt = now;
            due.push_back(row->member.address);
        }
    }
    appendDueProbes(due, now);
    appendDueSeeds(due, now);
    return due;
}

void member_table::appendDueProbes(std::vector<node_address> &due, instant now)
{
    if (now - m_probedAt < deadMemberInterval) {
        return;
    }
    m_probedAt = now;
    std::size_t probed = 0;
    const auto appendBetween = [&](auto begin, auto end) {
        for (auto position = begin; position != end && probed < probesPerInterval; ++position) {
            known_member &row = position->second;
            const bool isLocal = row.member.dataCentre == m_self.dataCentre;
            if (!row.isContact && !row.isLeaving && !isLive(row, now) && (isLocal || m_roles.isSelfHub)
                && now - row.lastSentAt >= deadMemberInterval) {
                row.lastSentAt = now;
                due.push_back(row.member.address);
                m_lastProbed = row.member.address;
                ++probed;
            }
        }
    };
    const auto first = m_rows.upper_bound(m_lastProbed);
    appendBetween(first, m_rows.end());
    appendBetween(m_rows.begin(), first);
}

void member_table::appendDueSeeds(std::vector<node_address> &due, instant now)
{
    if (m_roles.livePeers >= minLiveMembers) {
        return;
    }
    for (const node_address seed : m_seeds) {
        instant &lastSentAt = m_seedLastSentAt[seed];
        if (now - lastSentAt >= seedInterval) {
            lastSentAt = now;
            due.push_back(seed);
        }
    }
}

message_audience member_table::audienceOf(node_address address, instant now) const
{
    const auto found = m_rows.find(address);
    if (found == m_rows.end() || !isLive(found->second, now)) {
        return message_audience::unconfirmed;
    }
    const bool isLocal = found->second.member.dataCentre == m_self.dataCentre;
    if (!isHubAddress(roles(now), address)) {
        return isLocal ? message_audience::follower : message_audience::unconfirmed;
    }
    return isLocal ? message_audience::localHub : message_audience::remoteHub;
}

bool member_table::isSendingTo(node_address address) const
{
    const auto found = m_rows.find(address);
    return found != m_rows.end() && found->second.isContact;
}

std::vector<node_address> member_table::takeLostMembers(instant now)
{
    updateContacts(now);
    std::vector<node_address> lost;
    lost.swap(m_lost);
    return lost;
}

duration member_table::silenceOf(node_address address, instant now) const
{
    const auto found = m_rows.find(address);
    return found == m_rows.end() || found->second.lastReceivedAt == instant{} ? duration::zero() : now - found->second.lastReceivedAt;
}

void member_table::makeAllMessagesDue()
{
    for (auto &[address, row] : m_rows) {
        row.lastSentAt = instant{};
    }
}

std::vector<mesh_member> member_table::membersForPeer(const std::string &recipientDataCentre, instant now) const
{
    const member_roles &current = roles(now);
    std::vector<mesh_member> listed;
    const auto append = [&](const known_member &row) {
        if (listed.size() < maxMembersPerMessage) {
            listed.push_back(row.member);
            listed.back().ageMs = static_cast<std::uint32_t>(toMilliseconds(now - lastKnownAt(row)));
        }
    };
    for (const auto &[name, dataCentre] : current.dataCentres) {
        for (const node_address hub : dataCentre.hubs) {
            if (hub != m_self.address) {
                append(m_rows.at(hub));
            }
        }
    }
    const auto local = current.dataCentres.find(recipientDataCentre);
    if (local != current.dataCentres.end()) {
        std::size_t successors = 0;
        for (const known_member *row : local->second.preferred) {
            if (!isHubAddress(current, row->member.address) && successors++ < maxListedLocalNodes) {
                append(*row);
            }
        }
    }
    return listed;
}

std::string member_table::dataCentreOf(node_address address) const
{
    const auto found = m_rows.find(address);
    return found == m_rows.end() ? std::string() : found->second.member.dataCentre;
}

std::uint64_t member_table::incarnationOf(node_address address) const
{
    const auto found = m_rows.find(address);
    return found == m_rows.end() ? 0 : found->second.member.incarnation;
}

bool member_table::isInOwnDataCentre(node_address address) const
{
    const auto found = m_rows.find(address);
    return found != m_rows.end() && found->second.member.dataCentre == m_self.dataCentre;
}

std::size_t member_table::livePeerCount(instant now) const
{
    return roles(now).livePeers;
}

std::size_t member_table::liveNodes(instant now) const
{
    std::size_t nodes = 0;
    for (const auto &[name, dataCentre] : roles(now).dataCentres) {
        nodes += dataCentre.nodes;
    }
    return nodes;
}

} // namespace flamingofield
