#pragma once

#include "admission/admission_controller.hpp"
#include "admission/slot_quota.hpp"
#include "config/operator_config.hpp"
#include "fleet/peer_message.hpp"
#include "outlier/outlier_detector.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingofield {

/// Demand from a member's last report.
struct reported_demand
{
    std::vector<double> byRank;
    instant receivedAt;
};

/// Row of the service table.
struct service_row
{
    explicit service_row(outlier_policy policy)
        : outliers(policy)
    {
    }

    int number = 0;
    std::string name;
    std::shared_ptr<admission_controller> admission;
    outlier_detector outliers;
    service_spec spec;
    std::vector<std::uint64_t> members;
    bool isMember = false; ///< This node is one of the members.
    bool isListed = true; ///< The active configuration has the service.
    std::vector<endpoint> targets; ///< In the order of the target indexes of the admission controller and the outlier detector.
    std::map<std::uint64_t, reported_demand> reportedDemands; ///< By incarnation.
    std::vector<double> ownDemand; ///< Of this node by rank, smoothed.
    double lastReportedDemand = -1.0; ///< Sum over the ranks; negative before the first report.
    instant lastReportAt;
    bool lastReportHadEvidence = false;
    std::vector<std::uint64_t> leavingHashes; ///< Draining targets to announce to the other members, as hashes of their addresses.
    instant announceLeavingUntil;
};

/// Services of the active configuration with their targets' health, slot shares and members. Not thread-safe, reads no clock.
class service_table
{
public:
    /// Applies a new configuration; services and target addresses that it still lists keep their evidence.
    void applyConfig(const operator_config &config, instant now);

    /// Sets the members of a service.
    /// @param self incarnation of this node
    void setMembers(int serviceNumber, std::vector<std::uint64_t> members, std::uint64_t self);

    /// Adds observations of this node's requests to the evidence.
    void ingest(const std::vector<observation> &observations);

    /// Applies a peer's report. Evidence and demand count only from members of the service, leaving targets from any node.
    void handleReport(std::uint64_t sender, const service_report &report, instant now);

    /// Marks a target as leaving in all services that list it, because the VM list does.
    void markLeaving(const endpoint &target, instant now);

    /// Applies the result of a health probe. It only sets whether the target is leaving; it never readmits a target that was
    /// ejected for failing requests.
    void handleProbeResult(int serviceNumber, std::size_t target, bool isDraining, instant now);

    /// Updates the health of all targets.
    /// @return changes with the number of their service
    std::vector<std::pair<int, outlier_event>> detectOutliers(instant now);

    /// Splits the slots among the members and sets weights, limits and due trials in the admission controllers.
    /// @param self incarnation of this node
    void applyLimits(std::uint64_t self, instant now);

    /// The report that is due to the other members of a service, if any; it counts as sent.
    std::optional<service_report> takeDueReport(int serviceNumber, instant now);

    /// Age above which a request in a service counts as slow.
    duration slowRequestLimit(int serviceNumber) const;

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
