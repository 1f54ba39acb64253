#include "control/service_table.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace flamingofield {

namespace {

constexpr seconds demandReportLifetime{10}; // For how long the demand of a member's last report counts.
constexpr seconds demandPeriod{4}; // Between reports without evidence or a change of demand.
constexpr milliseconds evidencePeriod{100};
constexpr milliseconds stableEvidencePeriod{1000}; // While no target is suspected, newly ejected, newly on trial or leaving.
constexpr milliseconds minDemandChangePeriod{500};
constexpr double minDemandChange = 1.0; // Slots.
constexpr double demandSmoothing = 0.2; // Weight of the newest sample, one each tick.
constexpr seconds leavingAnnouncementDuration{3};

rank_queue_limits queueLimitsOf(const operator_config &config)
{
    rank_queue_limits limits;
    for (const auto &rank : config.ranks) {
        limits.guaranteedShares.push_back(rank.guaranteedShare);
    }
    return limits;
}

outlier_policy policyOf(const service_spec &spec)
{
    outlier_policy policy;
    policy.kind = spec.detector;
    policy.falseEjectionsPerTargetDay = spec.falseEjectionsPerTargetDay;
    policy.floorSlots = spec.floorSlots;
    policy.usesPeerEvidence = spec.detector == detector_kind::sequential;
    policy.comparesTargets = spec.detector == detector_kind::sequential;
    return policy;
}

bool hasSameShares(const rank_queue_limits &a, const rank_queue_limits &b)
{
    return a.guaranteedShares == b.guaranteedShares;
}

} // namespace

void service_table::applyConfig(const operator_config &config, instant now)
{
    const rank_queue_limits limits = queueLimitsOf(config);
    for (auto &row : m_rows) {
        row.isListed = false;
    }
    for (const auto &spec : config.services) {
        auto row = std::find_if(m_rows.begin(), m_rows.end(), [&](const auto &r) { return r.name == spec.name; });
        if (row == m_rows.end()) {
            service_row added(policyOf(spec));
            added.number = static_cast<int>(m_rows.size());
            added.name = spec.name;
            row = m_rows.insert(m_rows.end(), std::move(added));
        }
        const bool isAdmissionKept = row->admission != nullptr && hasSameShares(row->admission->limits(), limits);
        if (!isAdmissionKept) {
            // Requests in flight keep the old admission controller alive until they end.
            row->admission = std::make_shared<admission_controller>(limits, spec.retryRatio);
        }
        row->isListed = true;
        row->spec = spec;
        row->outliers.setPolicy(policyOf(spec));
        row->outliers.setTargets(spec.targets, now);
        row->targets.clear();
        for (const auto &target : row->outliers.targets()) {
            row->admission->indexOf(target.address);
            row->targets.push_back(parseEndpoint(target.address).value());
        }
    }
}

void service_table::setMembers(int serviceNumber, std::vector<std::uint64_t> members, std::uint64_t self)
{
    service_row &r = m_rows[static_cast<std::size_t>(serviceNumber)];
    r.isMember = std::find(members.begin(), members.end(), self) != members.end();
    r.outliers.setMemberCount(static_cast<int>(members.size()));
    r.members = std::move(members);
}

void service_table::ingest(const std::vector<observation> &observations)
{
    for (const auto &o : observations) {
        service_row &row = m_rows[static_cast<std::size_t>(o.service)];
        row.outliers.observe(o);
        if (o.isLeaving) {
            announceLeaving(row, o.target, o.at);
        }
    }
}

void service_table::announceLeaving(service_row &row, std::size_t target, instant now)
{
    const std::uint64_t hash = hashOf(row.outliers.targets()[target].address);
    if (std::find(row.leavingHashes.begin(), row.leavingHashes.end(), hash) == row.leavingHashes.end()) {
        row.leavingHashes.push_back(hash);
        row.announceLeavingUntil = now + leavingAnnouncementDuration;
    }
}

void service_table::handleReport(std::uint64_t sender, const service_report &report, instant now)
{
    for (auto &row : m_rows) {
        if (hashOf(row.name) != report.service) {
            continue;
        }
        // Any node can report that a target leaves, but only members have evidence and demand.
        const bool isFromMember = std::find(row.members.begin(), row.members.end(), sender) != row.members.end();
        const bool isDemandValid
            = std::all_of(report.demand.begin(), report.demand.end(), [](float d) { return std::isfinite(d) && d >= 0.0F; });
        if (isFromMember && isDemandValid) {
            row.reportedDemands[sender] = {{report.demand.begin(), report.demand.end()}, now};
        }
        for (std::size_t i = 0; i < row.targets.size(); ++i) {
            const std::string &address = row.outliers.targets()[i].address;
            const std::uint64_t hash = hashOf(address);
            for (const auto &e : report.evidence) {
                if (isFromMember && e.target == hash) {
                    row.outliers.applyPeerReport(sender, {address, e.score, {e.bad, e.total}, e.isWarming}, now);
                }
            }
            if (std::find(report.leaving.begin(), report.leaving.end(), hash) != report.leaving.end()) {
                row.outliers.setReportedLeaving(i, now);
            }
        }
    }
}

void service_table::markLeaving(const endpoint &target, instant now)
{
    for (auto &row : m_rows) {
        for (std::size_t i = 0; i < row.targets.size(); ++i) {
            if (row.targets[i] == target) {
                row.outliers.setReportedLeaving(i, now);
                announceLeaving(row, i, now);
            }
        }
    }
}

void service_table::handleProbeResult(int serviceNumber, std::size_t target, bool isDraining, instant now)
{
    service_row &r = m_rows[static_cast<std::size_t>(serviceNumber)];
    r.outliers.setLeaving(target, isDraining, now);
    if (isDraining) {
        announceLeaving(r, target, now);
    }
}

std::vector<std::pair<int, outlier_event>> service_table::detectOutliers(instant now)
{
    std::vector<std::pair<int, outlier_event>> events;
    for (auto &row : m_rows) {
        for (auto &event : row.outliers.tick(now)) {
            events.emplace_back(row.number, std::move(event));
        }
    }
    return events;
}

std::vector<member_demand> service_table::memberDemands(const service_row &row, std::uint64_t self, instant now) const
{
    std::vector<member_demand> demands;
    for (const auto member : row.members) {
        const auto reported = row.reportedDemands.find(member);
        const bool isReportCurrent = reported != row.reportedDemands.end() && now - reported->second.receivedAt < demandReportLifetime;
        const std::vector<double> none;
        demands.push_back({toHex(member), member == self ? row.ownDemand : isReportCurrent ? reported->second.byRank : none});
    }
    return demands;
}

void service_table::smoothDemand(service_row &row)
{
    const std::vector<double> current = row.admission->demand();
    row.ownDemand.resize(current.size(), 0.0);
    for (std::size_t rank = 0; rank < current.size(); ++rank) {
        row.ownDemand[rank] += demandSmoothing * (current[rank] - row.ownDemand[rank]);
    }
}

void service_table::applyLimits(std::uint64_t self, instant now)
{
    for (auto &row : m_rows) {
        smoothDemand(row);
        const std::vector<member_demand> demands = memberDemands(row, self, now);
        const std::vector<std::vector<int>> owned = splitSlots(row.spec, demands, row.admission->limits().guaranteedShares);
        double demanded = 0.0;
        for (const auto &d : demands) {
            demanded += std::accumulate(d.byRank.begin(), d.byRank.end(), 0.0);
        }
        const double ratio = demanded / std::max(1, declaredSlots(row.spec));
        const auto ownIndex = static_cast<std::size_t>(std::find(row.members.begin(), row.members.end(), self) - row.members.begin());
        row.admission->setShares(memberRankShares(declaredSlots(row.spec), demands, ownIndex, row.admission->limits().guaranteedShares));
        std::vector<int> ownSlots(row.targets.size(), 0);
        std::vector<int> ceilings(row.targets.size(), 0);
        for (std::size_t s = 0; s < row.spec.targets.size(); ++s) {
            const auto found = std::find(row.targets.begin(), row.targets.end(), row.spec.targets[s].address);
            const auto index = static_cast<std::size_t>(found - row.targets.begin());
            ownSlots[index] = row.isMember ? owned[s][ownIndex] : 0;
            // A node that is not a member uses at most one slot, for requests whose idempotency keys it issued.
            ceilings[index] = row.isMember ? slotCeiling(ownSlots[index], row.spec.targets[s].slots, ratio) : 1;
        }
        row.admission->update([&](slot_table &table) {
            for (std::size_t i = 0; i < row.targets.size(); ++i) {
                target_slots &slots = table.at(i);
                slots.limit.setBounds(ownSlots[i], ceilings[i]);
                slots.weight = row.outliers.weightOf(i, now);
                slots.isTrialDue = slots.isTrialDue || row.outliers.tryStartTrial(i, now);
                if (row.outliers.targets()[i].state != target_state::trial) {
                    slots.isTrialDue = false;
                }
            }
        });
    }
}

std::optional<service_report> service_table::takeDueReport(int serviceNumber, instant now)
{
    service_row &r = m_rows[static_cast<std::size_t>(serviceNumber)];
    if (!r.isMember && r.leavingHashes.empty()) {
        return std::nullopt;
    }
    const double demand = std::accumulate(r.ownDemand.begin(), r.ownDemand.end(), 0.0);
    const std::vector<evidence_report> evidence = r.outliers.evidenceReports(now);
    const bool isLeavingDue = !r.leavingHashes.empty();
    const duration sinceSent = now - r.lastReportAt;
    const duration period = r.outliers.hasSuspectedTargets(now) || isLeavingDue ? evidencePeriod : stableEvidencePeriod;
    const bool isEvidenceDue = (!evidence.empty() || r.lastReportHadEvidence || isLeavingDue) && sinceSent >= period;
    const bool isDemandChanged = std::abs(demand - r.lastReportedDemand) >= std::max(minDemandChange, 0.3 * r.lastReportedDemand)
        && sinceSent >= minDemandChangePeriod;
    if (!isEvidenceDue && !isDemandChanged && sinceSent < demandPeriod) {
        return std::nullopt;
    }
    service_report report;
    report.service = hashOf(r.name);
    report.demand.assign(r.ownDemand.begin(), r.ownDemand.end());
    for (const auto &e : evidence) {
        report.evidence.push_back({hashOf(e.target), static_cast<float>(e.score), static_cast<float>(e.recent.bad),
                                   static_cast<float>(e.recent.total), e.isWarming});
    }
    report.leaving = r.leavingHashes;
    if (now > r.announceLeavingUntil) {
        r.leavingHashes.clear();
    }
    r.lastReportedDemand = demand;
    r.lastReportAt = now;
    r.lastReportHadEvidence = !evidence.empty();
    return report;
}

duration service_table::slowRequestLimit(int serviceNumber) const
{
    return m_rows[static_cast<std::size_t>(serviceNumber)].outliers.slowRequestLimit();
}

} // namespace flamingofield
