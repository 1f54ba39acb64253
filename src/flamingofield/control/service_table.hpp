#pragma once

#include "admit/service_gate.hpp"
#include "admit/slot_quota.hpp"
#include "config/operator_text.hpp"
#include "fleet/peer_message.hpp"
#include "judge/service_judge.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingofield {

/// Demand that a member told.
struct told_demand
{
    std::vector<double> byRank;
    instant heardAt;
};

/// Row of the service table.
struct service_row
{
    explicit service_row(judge_policy policy)
        : judge(policy)
    {
    }

    int number = 0;
    std::string name;
    std::shared_ptr<service_gate> gate;
    service_judge judge;
    service_spec spec;
    std::vector<std::uint64_t> members;
    bool isMember = false;
    bool isListed = true;
    std::vector<endpoint> targets; ///< By index in the gate and in the judge.
    std::map<std::uint64_t, told_demand> demands; ///< By incarnation.
    std::vector<double> demand; ///< Of this node by rank, smoothed.
    double lastSentDemand = -1.0; ///< Sum over the ranks.
    instant lastSentAt;
    bool hadEvidence = false;
    std::vector<std::uint64_t> leavingHashes; ///< Targets found draining, to be told to the other members.
    instant leavingUntil;
};

/// Services of the text with the decisions about them. Systems run over the rows each tick; not thread-safe.
class service_table
{
public:
    /// Takes over a new text; rows keep their evidence by service and target address.
    void setText(const operator_text &text, instant now);

    /// Sets the members of a service.
    void setMembers(int row, std::vector<std::uint64_t> members, std::uint64_t self);

    /// Takes in observations of this node's requests.
    void ingest(const std::vector<observation> &observations);

    /// Takes in a member's report. Reports of others than members are ignored.
    void hear(std::uint64_t sender, const service_report &report, instant now);

    /// Marks a target as leaving wherever it is listed, as the VM list says.
    void tellLeaving(const endpoint &target, instant now);

    /// Result of a health probe: it tells whether a target drains, but never clears a target that fails real work.
    void hearProbe(int row, std::size_t target, bool isDraining, instant now);

    /// Judges all services.
    std::vector<std::pair<int, judge_event>> judge(instant now);

    /// Splits slots and passes weights, limits and trials to the gates.
    void applyLimits(std::uint64_t self, instant now);

    /// The report that is due to the other members of a service, if any.
    std::optional<service_report> takeReport(int row, instant now);

    /// Age after which a request in a service is late.
    duration lateLimit(int number) const;

    std::vector<service_row> &rows()
    {
        return m_rows;
    }

    const std::vector<service_row> &rows() const
    {
        return m_rows;
    }

private:
    void announceLeaving(service_row &row, std::size_t target, instant now);
    static void smoothDemand(service_row &row);
    std::vector<member_demand> memberDemands(const service_row &row, std::uint64_t self, instant now) const;

    std::vector<service_row> m_rows;
};

} // namespace flamingofield
