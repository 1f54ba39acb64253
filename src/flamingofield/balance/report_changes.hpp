#pragma once

#include "balance/target_table.hpp"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace flamingofield {

/// A node to which a report is due.
struct report_recipient
{
    std::uint64_t peer = 0;
    std::uint64_t incarnation = 0; ///< Differs after a restart of the peer, which then knows no earlier report.
};

/// A report with the peers that get it.
struct peer_report
{
    bool isPartial = false; ///< The rows left out are those that have not changed.
    std::vector<target_report> rows;
    std::vector<std::uint64_t> peers;
};

/// Decides which rows of a node's report its peers get: all rows regularly and at first, and in between the rows that have changed.
///
/// Each change is sent in two consecutive messages to a peer, so that the loss of one datagram loses no information. Does no I/O and
/// reads no clock.
class report_changes
{
public:
    /// Each peer gets a full report at least this often, as long as its messages are at most longestMessageInterval apart. This bounds
    /// the time for which a peer's view may differ after two consecutive losses.
    static constexpr milliseconds fullReportPeriod{1000};
    /// The 200 ms of the schedule between data centres and the 50 ms by which the tick of an idle node may delay a message.
    static constexpr milliseconds longestMessageInterval{250};

    /// Reports for the recipients, one for all recipients that get the same rows, and records them as sent.
    /// @param rows the full report, see target_table::reportForPeers()
    std::vector<peer_report> takeReports(const std::vector<report_recipient> &recipients, const std::vector<target_report> &rows,
                                         instant now);

    /// Makes the next reports to the peer full, because it has no current report of this node.
    void startAnew(std::uint64_t peer);

private:
    struct reported_row
    {
        target_report report;
        std::uint64_t version = 0; ///< m_version at the last change.
        bool isListed = true; ///< In the newest full report.
    };

    struct recipient_state
    {
        std::uint64_t incarnation = 0;
        instant lastFullAt{};
        instant lastSentAt{};
        std::uint64_t lastVersion = 0; ///< m_version at the last message, 0 if there was none.
        /// m_version at the message before the last one. It is 0 for the first two messages, so both are full, and a peer that loses
        /// the first one does not have to ignore the second one.
        std::uint64_t previousVersion = 0;
    };

    void recordChanges(const std::vector<target_report> &rows);
    void forgetSilentRecipients(instant now);
    void forgetUnlistedRows();
    std::vector<target_report> rowsChangedSince(std::uint64_t version) const;
    /// Version since which the recipient must get the changes; all rows have changed since version 0.
    static std::uint64_t baseOf(const recipient_state &recipient, instant now);

    std::uint64_t m_version = 0; ///< Counts the calls of takeReports().
    std::unordered_map<std::uint64_t, reported_row> m_rows; ///< By key.
    std::map<std::uint64_t, recipient_state> m_recipients; ///< By peer.
};

} // namespace flamingofield
