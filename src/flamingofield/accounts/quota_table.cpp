#include "accounts/quota_table.hpp"

#include <algorithm>
#include <cmath>

namespace flamingofield {

namespace {

/// Time constant of the average over the admissions of other nodes.
constexpr double peerRateDecaySeconds = 0.5;
/// Mean age of what other nodes have admitted and not yet reported: half of the interval between their messages, and the tick of the
/// receiver.
constexpr duration unreportedAge = usageInterval / 2 + milliseconds(10);
/// Rows are kept for this many windows after the last usage, so that all nodes forget a row at about the same time.
constexpr int idleWindows = 2;

duration secondsToDuration(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

} // namespace

void quota_table::setRules(const quota_rules &rules)
{
    m_rules = rules;
}

void quota_table::setAccounts(std::shared_ptr<const account_directory> accounts, instant now)
{
    refillAll(now);
    m_accounts = std::move(accounts);
    for (auto each = m_rows.begin(); each != m_rows.end();) {
        const client_account *account = m_accounts == nullptr ? nullptr : m_accounts->findById(each->first);
        if (account == nullptr || !account->limit.isLimited()) {
            each = m_rows.erase(each);
            continue;
        }
        each->second.limit = account->limit;
        each->second.level = std::min(each->second.level, capacityOf(each->second));
        ++each;
    }
}

void quota_table::checkShareAge(instant now)
{
    if (now - m_shareSetAt > maxShareAge) {
        setShare({m_rules.overshoot * usableTolerance / static_cast<double>(m_share.nodes), m_share.nodes, 0.0, false}, now);
    }
}

void quota_table::setShare(const quota_share &share, instant now)
{
    m_shareSetAt = now;
    if (share.share != m_share.share) {
        refillAll(now);
    }
    m_share = share;
    if (!share.isInExchange) {
        m_exchangingSince = now;
    }
}

double quota_table::windowLimitOf(const row &entry) const
{
    const double base = entry.limit.ratePerSecond * toSeconds(m_rules.window) + entry.limit.burst;
    return std::max(1.0, base * (1.0 + usableTolerance * m_rules.overshoot) + usableTolerance * m_rules.slack);
}

double quota_table::capacityOf(const row &entry) const
{
    const double burst = entry.limit.burst * (1.0 + usableTolerance * m_rules.overshoot) + usableTolerance * m_rules.slack;
    // Each side of a cut has its part of the burst, too.
    return std::max(1.0, std::min(burst, windowLimitOf(entry)) * m_share.share);
}

double quota_table::refillRateOf(const row &entry, instant now) const
{
    // What was admitted before a restart is unknown, and may have been all that a window allows.
    const bool isHistoryKnown = now - m_startedAt >= m_rules.window;
    return m_share.share * (isHistoryKnown ? windowLimitOf(entry) / toSeconds(m_rules.window) : entry.limit.ratePerSecond);
}

duration quota_table::bucketWidth() const
{
    // The oldest bucket is only partly within the window, so one more than the window needs.
    return std::chrono::duration_cast<duration>(m_rules.window) / (buckets - 1);
}

double quota_table::countedOf(const row &entry, instant now) const
{
    const admission_count sum = entry.admitted.sum(bucketWidth(), now);
    return sum.own + std::min(sum.peers, sum.peersPerShare * m_share.peerShare);
}

double quota_table::unreportedOf(const row &entry, instant now)
{
    const double age = std::max(0.0, toSeconds(now - entry.peerRateAt));
    return entry.peerRate * std::exp(-age / peerRateDecaySeconds) * toSeconds(unreportedAge);
}

void quota_table::addToPeerRate(row &entry, double added, instant now)
{
    const double age = std::max(0.0, toSeconds(now - entry.peerRateAt));
    entry.peerRate = std::max(0.0, entry.peerRate * std::exp(-age / peerRateDecaySeconds) + added / peerRateDecaySeconds);
    entry.peerRateAt = now;
}

quota_table::row &quota_table::rowOf(const client_account &account, instant now)
{
    const auto [found, isNew] = m_rows.try_emplace(account.id);
    row &entry = found->second;
    if (isNew) {
        entry.limit = account.limit;
        entry.generation = m_nextGeneration++;
        entry.refilledAt = now;
        const double followed = std::max(0.0, toSeconds(now - m_exchangingSince)) * m_share.share * account.limit.ratePerSecond;
        entry.level = std::min(capacityOf(entry), initialTokens + followed);
    }
    return entry;
}

void quota_table::refill(row &entry, instant now) const
{
    const double elapsed = std::max(0.0, toSeconds(now - entry.refilledAt));
    entry.level = std::min(capacityOf(entry), entry.level + refillRateOf(entry, now) * elapsed);
    entry.refilledAt = now;
}

void quota_table::refillAll(instant now)
{
    for (auto &[account, entry] : m_rows) {
        refill(entry, now);
    }
}

quota_decision quota_table::admit(const client_account &account, instant now)
{
    if (!account.limit.isLimited()) {
        return {};
    }
    checkShareAge(now);
    row &entry = rowOf(account, now);
    refill(entry, now);
    entry.usedAt = now;
    const double unreported = unreportedOf(entry, now);
    const double counted = countedOf(entry, now) + unreported;
    if (entry.level - unreported >= 1.0 && counted + 1.0 <= windowLimitOf(entry) * m_share.share + initialTokens) {
        entry.level -= 1.0;
        entry.admitted.at(bucketWidth(), now).own += 1.0;
        ++entry.admissions;
        entry.isChanged = true;
        return {true, duration::zero(), entry.level, counted + 1.0, m_share.share};
    }
    // Refused requests are told to return one after another, at this node's part of the rate, instead of all at once.
    const double rate = std::max(1e-6, refillRateOf(entry, now));
    const instant earliest = now + secondsToDuration(std::max(0.0, 1.0 - entry.level) / rate);
    const auto spacing = secondsToDuration(static_cast<double>(m_share.nodes) / rate);
    entry.returnAt = std::clamp(entry.returnAt + spacing, earliest, std::max(earliest, now + duration(m_rules.window)));
    return {false, entry.returnAt - now, entry.level, counted, m_share.share};
}

void quota_table::giveBack(std::uint64_t account, instant now)
{
    const auto found = m_rows.find(account);
    if (found == m_rows.end()) {
        return;
    }
    row &entry = found->second;
    entry.level = std::min(capacityOf(entry), entry.level + 1.0);
    entry.admitted.at(bucketWidth(), now).own -= 1.0;
    --entry.admissions;
    entry.isChanged = true;
}

void quota_table::applyPeerUsage(std::uint64_t peer, std::uint64_t incarnation, const std::vector<account_usage> &usages, instant now)
{
    for (const account_usage &usage : usages) {
        const client_account *account = m_accounts == nullptr ? nullptr : m_accounts->findById(usage.account);
        if (account == nullptr || !account->limit.isLimited()) {
            continue; // The peer has another version of the configuration.
        }
        row &entry = rowOf(*account, now);
        refill(entry, now);
        auto known = std::find_if(entry.peers.begin(), entry.peers.end(), [&](const peer_usage &each) { return each.peer == peer; });
        const bool isOutdated = known != entry.peers.end()
            && (incarnation < known->incarnation || (incarnation == known->incarnation && usage.generation < known->generation));
        if (isOutdated) {
            continue;
        }
        const bool isFirst = known == entry.peers.end() || known->incarnation != incarnation || known->generation != usage.generation;
        // The first report of a node may contain old admissions; a full bucket is the most that recent ones can have taken.
        const double added = isFirst ? std::min(capacityOf(entry), static_cast<double>(usage.admissions))
                                     : static_cast<double>(static_cast<std::int32_t>(usage.admissions - known->admissions));
        if (known == entry.peers.end()) {
            known = entry.peers.insert(entry.peers.end(), peer_usage{});
        }
        *known = {peer, incarnation, usage.generation, usage.admissions, now};
        entry.level = std::min(capacityOf(entry), entry.level - added);
        // A report is heard, so the share is above zero but for the moment of the first one.
        entry.admitted.at(bucketWidth(), now) += {0.0, added, added / std::max(0.01, m_share.peerShare)};
        addToPeerRate(entry, isFirst ? 0.0 : added, now);
        entry.usedAt = added != 0.0 ? now : entry.usedAt;
    }
}

std::vector<account_usage> quota_table::takeChangedUsage()
{
    std::vector<account_usage> changed;
    for (auto &[account, entry] : m_rows) {
        if (entry.isChanged) {
            entry.isChanged = false;
            changed.push_back({account, entry.generation, entry.admissions});
        }
    }
    return changed;
}

std::vector<account_usage> quota_table::allUsage() const
{
    std::vector<account_usage> all;
    for (const auto &[account, entry] : m_rows) {
        if (entry.admissions != 0) {
            all.push_back({account, entry.generation, entry.admissions});
        }
    }
    return all;
}

void quota_table::removeIdle(instant now)
{
    for (auto each = m_rows.begin(); each != m_rows.end();) {
        row &entry = each->second;
        refill(entry, now);
        const duration memory = idleWindows * m_rules.window;
        // Nodes that are in use repeat all their counts each second.
        entry.peers.erase(
            std::remove_if(entry.peers.begin(), entry.peers.end(), [&](const peer_usage &peer) { return now - peer.at > memory; }),
            entry.peers.end());
        const bool isIdle = now - entry.usedAt > memory && entry.level >= capacityOf(entry);
        each = isIdle ? m_rows.erase(each) : std::next(each);
    }
}

} // namespace flamingofield
