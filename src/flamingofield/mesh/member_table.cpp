#include "mesh/member_table.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <set>

namespace flamingofield {

namespace {

/// Between hubs of one data centre, where traffic is free: the age of what they know of each other's slots.
constexpr milliseconds nearHubInterval{60};
/// From a node with requests in flight that is no hub to its hubs.
constexpr milliseconds busyMemberInterval{200};
/// Between hubs of different data centres, where bytes are paid for.
constexpr milliseconds farHubInterval{200};
/// From a hub to the other nodes of its data centre; keeps their news well below the two seconds in which it must act.
constexpr milliseconds hubToMemberInterval{250};
/// From other nodes to their hubs; a third of the lease.
constexpr milliseconds memberInterval{400};
/// To members that are taken for dead, so that healed partitions are noticed.
constexpr milliseconds lostInterval{1000};
/// To seeds, while nobody else is known.
constexpr milliseconds seedInterval{200};
/// Dead members are forgotten after this time; their addresses may have gone to others.
constexpr seconds forgetAfter{60};

std::uint64_t orderOf(const mesh_member &member)
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

bool member_table::isLive(const mesh_member_row &row, instant now) const
{
    return !row.isLeaving && now - row.heardAt < memberLease;
}

bool member_table::heard(const mesh_message &message, instant now)
{
    if (message.sender.address == m_self.address) {
        return false;
    }
    mesh_member_row &row = m_rows[message.sender.address];
    const bool wasLive = row.heardAt != instant{} && isLive(row, now);
    if (message.sender.incarnation >= row.member.incarnation || !wasLive) {
        row.member = message.sender;
        row.isLeaving = message.isLeaving;
        row.heardAt = now;
    }
    for (const auto &told : message.members) {
        if (told.address == m_self.address || told.ageMs > static_cast<std::uint32_t>(memberLease.count())) {
            continue;
        }
        const instant heardAt = now - milliseconds(told.ageMs);
        auto [position, isNew] = m_rows.try_emplace(told.address);
        mesh_member_row &known = position->second;
        const bool isNewer = isNew || told.incarnation > known.member.incarnation
            || (told.incarnation == known.member.incarnation && heardAt > known.heardAt && !known.isLeaving);
        if (isNewer) {
            known.isLeaving = false;
            known.member = told;
            known.heardAt = std::max(known.heardAt, heardAt);
        }
    }
    return !wasLive;
}

bool member_table::isBefore(const mesh_member &a, const mesh_member &b)
{
    // Nodes that are not ready yet serve only where no others do.
    if (a.isReady != b.isReady) {
        return a.isReady;
    }
    return a.capacity != b.capacity ? a.capacity > b.capacity : orderOf(a) < orderOf(b);
}

std::vector<const mesh_member *> member_table::liveIn(const std::string &dataCentre, instant now) const
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
    std::sort(live.begin(), live.end(), [](const mesh_member *a, const mesh_member *b) { return isBefore(*a, *b); });
    return live;
}

std::vector<node_address> member_table::hubs(const std::string &dataCentre, instant now) const
{
    const auto live = liveIn(dataCentre, now);
    double total = 0.0;
    for (const mesh_member *member : live) {
        total += member->capacity;
    }
    std::vector<node_address> addresses;
    for (const mesh_member *member : live) {
        addresses.push_back(member->address);
        const double usable = static_cast<double>(addresses.size()) * member->capacity;
        if (addresses.size() >= leastHubs && usable >= hubShare * total) {
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

std::size_t member_table::readerRank(instant now) const
{
    const std::set<node_address> hubSet = allHubs(now);
    if (hubSet.count(m_self.address) != 0) {
        return static_cast<std::size_t>(std::count_if(hubSet.begin(), hubSet.end(), [&](node_address address) {
            return address != m_self.address && isBefore(m_rows.at(address).member, m_self);
        }));
    }
    const auto live = liveIn(m_self.dataCentre, now);
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
        const auto some = hubs(dataCentre, now);
        addresses.insert(some.begin(), some.end());
    }
    return addresses;
}

duration member_table::intervalTo(const mesh_member_row &row, bool otherIsHub, bool selfIsHub, bool isBusy, instant now) const
{
    const bool isNear = row.member.dataCentre == m_self.dataCentre;
    if (!isLive(row, now)) {
        return row.isLeaving || (!selfIsHub && !isNear) ? duration::max() : duration(lostInterval);
    }
    if (otherIsHub && selfIsHub) {
        return isNear ? nearHubInterval : farHubInterval;
    }
    if (selfIsHub && isNear) {
        return hubToMemberInterval;
    }
    // What few requests other nodes have in flight is not worth messages between data centres.
    return otherIsHub && isNear ? duration(isBusy ? busyMemberInterval : memberInterval) : duration::max();
}

std::vector<node_address> member_table::takeDue(bool isBusy, instant now)
{
    std::vector<node_address> due;
    const std::set<node_address> hubSet = allHubs(now);
    const bool selfIsHub = hubSet.count(m_self.address) != 0;
    std::size_t live = 0;
    for (auto position = m_rows.begin(); position != m_rows.end();) {
        mesh_member_row &row = position->second;
        if (now - row.heardAt > forgetAfter) {
            position = m_rows.erase(position);
            continue;
        }
        live += isLive(row, now) ? 1 : 0;
        const duration interval = intervalTo(row, hubSet.count(row.member.address) != 0, selfIsHub, isBusy, now);
        // Live members speak to those that speak to them.
        row.isExpected = row.isExpected || (isLive(row, now) && interval != duration::max());
        if (interval != duration::max() && now - row.sentAt >= interval) {
            row.sentAt = now;
            due.push_back(row.member.address);
        }
        ++position;
    }
    constexpr std::size_t fewMembers = 2;
    if (live < fewMembers) {
        for (const node_address seed : m_seeds) {
            instant &sentAt = m_seedSentAt[seed];
            if (now - sentAt >= seedInterval) {
                sentAt = now;
                due.push_back(seed);
            }
        }
    }
    return due;
}

std::vector<node_address> member_table::takeLost(instant now)
{
    std::vector<node_address> lost;
    for (auto &[address, row] : m_rows) {
        if (row.isExpected && !isLive(row, now)) {
            row.isExpected = false;
            if (!row.isLeaving) {
                lost.push_back(address);
            }
        }
    }
    return lost;
}

void member_table::hurry()
{
    for (auto &[address, row] : m_rows) {
        row.sentAt = instant{};
    }
}

void member_table::hurryToHubs(instant now)
{
    for (const node_address address : allHubs(now)) {
        const auto found = m_rows.find(address);
        if (found != m_rows.end()) {
            found->second.sentAt = instant{};
        }
    }
}

std::vector<mesh_member> member_table::membersToTell(bool toOwnDataCentre, instant now) const
{
    std::vector<mesh_member> told;
    const std::set<node_address> hubSet = allHubs(now);
    for (const auto &[address, row] : m_rows) {
        const bool isOwn = row.member.dataCentre == m_self.dataCentre;
        if (told.size() < mostMembersTold && isLive(row, now) && (hubSet.count(address) != 0 || (toOwnDataCentre && isOwn))) {
            told.push_back(row.member);
            told.back().ageMs = static_cast<std::uint32_t>(toMilliseconds(now - row.heardAt));
        }
    }
    return told;
}

bool member_table::isInOwnDataCentre(node_address address) const
{
    const auto found = m_rows.find(address);
    return found != m_rows.end() && found->second.member.dataCentre == m_self.dataCentre;
}

std::size_t member_table::live(instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_rows.begin(), m_rows.end(), [&](const auto &entry) { return isLive(entry.second, now); }));
}

} // namespace flamingofield
