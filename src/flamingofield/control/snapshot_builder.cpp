#include "control/snapshot_builder.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

node_view viewOf(const node_info &info, instant epochAt)
{
    return {info.gateAddress, info.dataCentre, info.incarnation, info.epoch, epochAt};
}

/// Members that callers may be directed to; suspect and leaving nodes only if there are no others.
std::vector<node_view> addressableMembers(const service_row &row, const membership &members, const node_record &self, instant now)
{
    std::vector<node_view> preferred;
    std::vector<node_view> fallback;
    for (const auto incarnation : row.members) {
        if (incarnation == self.info.incarnation) {
            (self.info.isLeaving ? fallback : preferred).push_back(viewOf(self.info, now));
            continue;
        }
        const member_row *member = members.find(incarnation);
        if (member == nullptr) {
            continue;
        }
        const bool isPreferred = member->record.state == node_state::alive && !member->record.info.isLeaving;
        (isPreferred ? preferred : fallback).push_back(viewOf(member->record.info, member->epochAt));
    }
    return preferred.empty() ? fallback : preferred;
}

service_view viewOf(const service_row &row, const membership &members, const node_record &self, instant now)
{
    service_view view;
    view.number = row.number;
    view.admission = row.admission;
    view.targets = row.targets;
    view.members = addressableMembers(row, members, self, now);
    view.isMember = row.isMember;
    view.attemptTimeout = row.outliers.slowRequestLimit();
    return view;
}

} // namespace

std::shared_ptr<const fleet_snapshot> buildSnapshot(const config_manager &configManager, const service_table &services,
                                                    const membership &members, instant now)
{
    auto snapshot = std::make_shared<fleet_snapshot>();
    snapshot->config = configManager.config();
    snapshot->routes = configManager.routes();
    snapshot->revision = configManager.stamp().revision;
    const node_record self = members.self(now);
    snapshot->isLeaving = self.info.isLeaving;
    for (const auto &spec : snapshot->config->services) {
        const auto row = std::find_if(services.rows().begin(), services.rows().end(), [&](const auto &r) { return r.name == spec.name; });
        snapshot->services.push_back(viewOf(*row, members, self, now));
    }
    for (const auto &member : members.live(true)) {
        snapshot->nodes.emplace(member.record.info.incarnation, viewOf(member.record.info, member.epochAt));
    }
    return snapshot;
}

} // namespace flamingofield
