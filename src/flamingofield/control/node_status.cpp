#include "control/node_status.hpp"

#include "core/hash.hpp"

#include <nlohmann/json.hpp>

namespace flamingofield {

namespace {

using nlohmann::json;

json encodeConfig(const config_manager &configManager, instant now)
{
    json rejected = json::array();
    for (const auto &r : configManager.rejected()) {
        rejected.push_back({{"version", r.stamp.version}, {"revision", r.stamp.revision}, {"source", r.source}, {"reason", r.reason}});
    }
    return {{"version", configManager.stamp().version},
            {"revision", configManager.stamp().revision},
            {"source", configManager.source()},
            {"inForceForMs", configManager.config() == nullptr ? 0 : toMilliseconds(now - configManager.activeSince())},
            {"refused", rejected}};
}

json encodeNode(const node_record &record, const char *state)
{
    return {{"incarnation", toHex(record.info.incarnation)},
            {"peer", toString(record.info.peerAddress)},
            {"gate", toString(record.info.gateAddress)},
            {"admin", toString(record.info.adminAddress)},
            {"dataCentre", record.info.dataCentre},
            {"state", state},
            {"leaving", record.info.isLeaving}};
}

json encodeService(const service_row &row, instant now)
{
    json targets = json::array();
    row.admission->update([&](slot_table &table) {
        for (std::size_t i = 0; i < row.targets.size(); ++i) {
            const target_health &t = row.outliers.targets()[i];
            const target_slots &slots = table.at(i);
            targets.push_back({{"address", t.address},
                               {"state", toString(t.state)},
                               {"listed", t.isListed},
                               {"evidence", evidenceOf(t.failureDetector, row.outliers.threshold())},
                               {"weight", row.outliers.weightOf(i, now)},
                               {"owned", slots.limit.owned},
                               {"allowed", slots.limit.allowed()},
                               {"inUse", slots.inUse},
                               {"pathBlamed", t.isPathSuspected},
                               {"reduced", t.hasReducedWeight}});
        }
    });
    return {{"name", row.name}, {"member", row.isMember}, {"threshold", row.outliers.threshold()}, {"targets", targets}};
}

json encodeMetrics(const status_inputs &source, instant now)
{
    json rows = json::array();
    for (const auto &[key, metrics] : source.context.metrics.collect(now)) {
        json ends;
        for (std::size_t i = 0; i < requestEndCount; ++i) {
            ends[toString(static_cast<request_end>(i))] = metrics.ends[i];
        }
        rows.push_back({{"service", key.first},
                        {"rank", key.second},
                        {"ends", ends},
                        {"latency", metrics.latency.counts()},
                        {"short", {{"good", metrics.shortWindow.good}, {"total", metrics.shortWindow.total}}},
                        {"long", {{"good", metrics.longWindow.good}, {"total", metrics.longWindow.total}}}});
    }
    return rows;
}

json encodeObjectives(const config_manager &configManager)
{
    json objectives = json::object();
    if (configManager.config() != nullptr) {
        for (const auto &rank : configManager.config()->ranks) {
            objectives[rank.name] = {{"objective", rank.objective}, {"deadlineMs", rank.deadline.count()}, {"worth", rank.reportWeight}};
        }
    }
    return objectives;
}

} // namespace

std::string encodeStatus(const status_inputs &source, instant now)
{
    json nodes = json::array({encodeNode(source.members.self(now), "alive")});
    for (const auto &row : source.members.live(true)) {
        nodes.push_back(encodeNode(row.record, row.record.state == node_state::alive ? "alive" : "suspect"));
    }
    json services = json::array();
    for (const auto &row : source.services.rows()) {
        if (row.isListed) {
            services.push_back(encodeService(row, now));
        }
    }
    json counters;
    for (int i = 0; i < static_cast<int>(counter::count); ++i) {
        counters[toString(static_cast<counter>(i))] = source.context.counters.value(static_cast<counter>(i));
    }
    return json{{"incarnation", toHex(source.context.incarnation)},
                {"serving", source.isServing},
                {"reader", source.isReader},
                {"config", encodeConfig(source.configManager, now)},
                {"nodes", nodes},
                {"services", services},
                {"ranks", encodeObjectives(source.configManager)},
                {"requests", encodeMetrics(source, now)},
                {"counters", counters}}
        .dump();
}

} // namespace flamingofield
