#include "mesh/member_table.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <set>

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
/// To dead members, so that the end of a partition is detected.
constexpr milliseconds deadMemberInterval{1000};
/// To seeds, while fewer than minLiveMembers members are live.
constexpr milliseconds seedInterval{200};
/// Dead members are removed after this time; other VMs may have got their addresses.
constexpr seconds deadMemberRetention{60};

std::uint64_t tieBreakerOf(const mesh_member &member)
{
    return hashOf(std::to_string(member.address));
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
    m_self.isReady = isReady;
}

bool member_table::isLive(const known_member &row, instant now) const
{
    return !row.isLeaving && now - row.lastReceivedAt < memberLease;
}

bool member_table::applyMessage(const mesh_message &message, instant now)
{
    if (message.sender.address == m_self.address) {
        return false;
    }
    known_member &row = m_rows[message.sender.address];
    const bool wasLive = row.lastReceivedAt != instant{} && isLive(row, now);
    if (message.sender.incarnation >= row.member.incarnation || !wasLive) {
        row.member = message.sender;
        row.isLeaving = message.isLeaving;
        row.lastReceivedAt = now;
    }
    for (const auto &reported : message.members) {
        if (reported.address == m_self.address || reported.ageMs > static_cast<std::uint32_t>(memberLease.count())) {
            continue;
        }
        const instant lastReceivedAt = now - milliseconds(reported.ageMs);
        auto [position, isNew] = m_rows.try_emplace(reported.address);
        known_member &known = position->second;
        const bool isNewer = isNew || reported.incarnation > known.member.incarnation
            || (reported.incarnation == known.member.incarnation && lastReceivedAt > known.lastReceivedAt && !known.isLeaving);
        if (isNewer) {
            known.isLeaving = false;
            known.member = reported;
            known.lastReceivedAt = std::max(known.lastReceivedAt, lastReceivedAt);
        }
    }
    return !wasLive;
}

bool member_table::isPreferred(const mesh_member &a, const mesh_member &b)
{
    // Nodes that are not ready come last, so they become hubs only where no node is ready.
    if (a.isReady != b.isReady) {
        return a.isReady;
    }
    return a.capacityMillicores != b.capacityMillicores ? a.capacityMillicores > b.capacityMillicores : tieBreakerOf(a) < tieBreakerOf(b);
}

std::vector<const mesh_member *> member_table::liveMembersIn(const std::string &dataCentre, instant now) const
{
    std::vector<const mesh_member *> live;
    for (const auto &[address, row] : m_rows) {
        if (row.member.dataCentre == dataCentre && isLive(row, now)) {
            live.push_back(&row.member);
        }
    }
    if (m_self.dataCentre == dataCentre) {
        live.push_back(&m_self);
    }
    std::sort(live.begin(), live.end(), [](const mesh_member *a, const mesh_member *b) { return isPreferred(*a, *b); });
    return live;
}

std::vector<node_address> member_table::hubsIn(const std::string &dataCentre, instant now) const
{
    const auto live = liveMembersIn(dataCentre, now);
    double total = 0.0;
    for (const mesh_member *member : live) {
        total += member->capacityMillicores;
    }
    std::vector<node_address> addresses;
    for (const mesh_member *member : live) {
        addresses.push_back(member->address);
        const double usable = static_cast<double>(addresses.size()) * member->capacityMillicores;
        if (addresses.size() >= minHubs && usable >= minHubCapacityShare * total) {
            break;
        }
    }
    return addresses;
}

std::vector<mesh_member> member_table::readyHubs(instant now) const
{
    std::vector<mesh_member> ready;
    for (const node_address address : allHubs(now)) {
        const mesh_member &member = address == m_self.address ? m_self : m_rows.at(address).member;
        if (member.isReady) {
            ready.push_back(member);
        }
    }
    return ready;
}

std::size_t member_table::readerPosition(instant now) const
{
    const std::set<node_address> hubSet = allHubs(now);
    if (hubSet.count(m_self.address) != 0) {
        return static_cast<std::size_t>(std::count_if(hubSet.begin(), hubSet.end(), [&](node_address address) {
            return address != m_self.address && isPreferred(m_rows.at(address).member, m_self);
        }));
    }
    const auto live = liveMembersIn(m_self.dataCentre, now);
    const auto found = std::find_if(live.begin(), live.end(), [&](const mesh_member *member) { return member->address == m_self.address; });
    return hubSet.size() + static_cast<std::size_t>(found - live.begin());
}

std::set<node_address> member_table::allHubs(instant now) const
{
    std::set<std::string> dataCentres{m_self.dataCentre};
    for (const auto &[address, row] : m_rows) {
        dataCentres.insert(row.member.dataCentre);
    }
    std::set<node_address> addresses;
    for (const auto &dataCentre : dataCentres) {
        const auto dataCentreHubs = hubsIn(dataCentre, now);
        addresses.insert(dataCentreHubs.begin(), dataCentreHubs.end());
    }
    return addresses;
}

duration member_table::intervalTo(const known_member &row, bool isPeerHub, bool isSelfHub, bool isBusy, instant now) const
{
    const bool isLocal = row.member.dataCentre == m_self.dataCentre;
    if (!isLive(row, now)) {
        return row.isLeaving || (!isSelfHub && !isLocal) ? duration::max() : duration(deadMemberInterval);
    }
    if (isPeerHub && isSelfHub) {
        return isLocal ? localHubInterval : remoteHubInterval;
    }
    if (isSelfHub && isLocal) {
        return hubToNonHubInterval;
    }
    // Non-hubs have too few requests in flight to justify messages between data centres.
    return isPeerHub && isLocal ? duration(isBusy ? busyNonHubToHubInterval : nonHubToHubInterval) : duration::max();
}

std::vector<node_address> member_table::takeDueRecipients(bool isBusy, instant now)
{
    std::vector<node_address> due;
    const std::set<node_address> hubSet = allHubs(now);
    const bool isSelfHub = hubSet.count(m_self.address) != 0;
    std::size_t live = 0;
    for (auto position = m_rows.begin(); position != m_rows.end();) {
        known_member &row = position->second;
        if (now - row.lastReceivedAt > deadMemberRetention) {
            position = m_rows.erase(position);
            continue;
        }
        live += isLive(row, now) ? 1 : 0;
        const duration interval = intervalTo(row, hubSet.count(row.member.address) != 0, isSelfHub, isBusy, now);
        // Message schedules are symmetric: a live member to which this node sends also sends to this node.
        row.isExpectedToSend = row.isExpectedToSend || (isLive(row, now) && interval != duration::max());
        if (interval != duration::max() && now - row.lastSentAt >= interval) {
            row.lastSentAt = now;
            due.push_back(row.member.address);
        }
        ++position;
    }
    constexpr std::size_t minLiveMembers = 2;
    if (live < minLiveMembers) {
        for (const node_address seed : m_seeds) {
            instant &lastSentAt = m_seedLastSentAt[seed];
            if (now - lastSentAt >= seedInterval) {
                lastSentAt = now;
                due.push_back(seed);
            }
        }
    }
    return due;
}

std::vector<node_address> member_table::takeLostMembers(instant now)
{
    std::vector<node_address> lost;
    for (auto &[address, row] : m_rows) {
        if (row.isExpectedToSend && !isLive(row, now)) {
            row.isExpectedToSend = false;
            if (!row.isLeaving) {
                lost.push_back(address);
            }
        }
    }
    return lost;
}

void member_table::makeAllMessagesDue()
{
    for (auto &[address, row] : m_rows) {
        row.lastSentAt = instant{};
    }
}

void member_table::makeHubMessagesDue(instant now)
{
    for (const node_address address : allHubs(now)) {
        const auto found = m_rows.find(address);
        if (found != m_rows.end()) {
            found->second.lastSentAt = instant{};
        }
    }
}

std::vector<mesh_member> member_table::membersForPeer(bool isForOwnDataCentre, instant now) const
{
    std::vector<mesh_member> reported;
    const std::set<node_address> hubSet = allHubs(now);
    for (const auto &[address, row] : m_rows) {
        const bool isOwn = row.member.dataCentre == m_self.dataCentre;
        if (reported.size() < maxMembersPerMessage && isLive(row, now) && (hubSet.count(address) != 0 || (isForOwnDataCentre && isOwn))) {
            reported.push_back(row.member);
            reported.back().ageMs = static_cast<std::uint32_t>(toMilliseconds(now - row.lastReceivedAt));
        }
    }
    return reported;
}

bool member_table::isInOwnDataCentre(node_address address) const
{
    const auto found = m_rows.find(address);
    return found != m_rows.end() && found->second.member.dataCentre == m_self.dataCentre;
}

std::size_t member_table::livePeerCount(instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_rows.begin(), m_rows.end(), [&](const auto &entry) { return isLive(entry.second, now); }));
}

} // namespace flamingofield
