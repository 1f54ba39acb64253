#include "balance/report_changes.hpp"

#include <algorithm>
#include <tuple>

namespace flamingofield {

namespace {

bool isSame(const target_report &a, const target_report &b)
{
    const auto fieldsOf = [](const target_report &report) {
        const target_counts &counts = report.counts;
        return std::tie(report.inFlight, report.isLeaving, counts.successes, counts.failures, counts.overdueOrResetRequests,
                        counts.impairments, counts.requestsSent, counts.replacements);
    };
    return fieldsOf(a) == fieldsOf(b);
}

} // namespace

std::vector<peer_report> report_changes::takeReports(const std::vector<report_recipient> &recipients,
                                                     const std::vector<target_report> &rows, instant now)
{
    forgetSilentRecipients(now);
    recordChanges(rows);
    std::map<std::uint64_t, peer_report> reports; // By base.
    for (const auto &[peer, incarnation] : recipients) {
        recipient_state &recipient = m_recipients[peer];
        if (recipient.incarnation != incarnation) {
            recipient = {};
            recipient.incarnation = incarnation;
        }
        const std::uint64_t base = baseOf(recipient, now);
        auto [position, isNew] = reports.try_emplace(base);
        peer_report &report = position->second;
        if (isNew) {
            report.rows = rowsChangedSince(base);
            report.isPartial = report.rows.size() < rows.size();
            if (!report.isPartial) {
                report.rows = rows; // A full report of the same size says more.
            }
        }
        report.peers.push_back(peer);
        if (!report.isPartial) {
            recipient.lastFullAt = now;
        }
        recipient.lastSentAt = now;
        recipient.previousVersion = recipient.lastVersion;
        recipient.lastVersion = m_version;
    }
    forgetUnlistedRows();
    std::vector<peer_report> taken;
    for (auto &[base, report] : reports) {
        taken.push_back(std::move(report));
    }
    return taken;
}

void report_changes::startAnew(std::uint64_t peer)
{
    m_recipients.erase(peer);
}

void report_changes::recordChanges(const std::vector<target_report> &rows)
{
    ++m_version;
    for (auto &[key, row] : m_rows) {
        row.isListed = false;
    }
    for (const target_report &report : rows) {
        auto [position, isNew] = m_rows.try_emplace(report.key);
        reported_row &row = position->second;
        if (isNew || !isSame(row.report, report)) {
            row.report = report;
            row.version = m_version;
        }
        row.isListed = true;
    }
    // A target that has left may be missing in the report before its last request was reported as ended.
    for (auto &[key, row] : m_rows) {
        if (!row.isListed && row.report.inFlight > 0) {
            row.report.inFlight = 0;
            row.version = m_version;
        }
    }
}

void report_changes::forgetSilentRecipients(instant now)
{
    for (auto position = m_recipients.begin(); position != m_recipients.end();) {
        position = now - position->second.lastSentAt >= fullReportPeriod ? m_recipients.erase(position) : std::next(position);
    }
}

void report_changes::forgetUnlistedRows()
{
    std::uint64_t oldestBase = m_version;
    for (const auto &[peer, recipient] : m_recipients) {
        oldestBase = std::min(oldestBase, recipient.previousVersion);
    }
    for (auto position = m_rows.begin(); position != m_rows.end();) {
        const reported_row &row = position->second;
        position = !row.isListed && row.version <= oldestBase ? m_rows.erase(position) : std::next(position);
    }
}

std::vector<target_report> report_changes::rowsChangedSince(std::uint64_t version) const
{
    std::vector<target_report> changed;
    for (const auto &[key, row] : m_rows) {
        if (row.version > version) {
            changed.push_back(row.report);
        }
    }
    return changed;
}

std::uint64_t report_changes::baseOf(const recipient_state &recipient, instant now)
{
    const bool isFullDue = now - recipient.lastFullAt >= fullReportPeriod - longestMessageInterval;
    return isFullDue ? 0 : recipient.previousVersion;
}

} // namespace flamingofield
