#include "report/metrics_page.hpp"

#include <sstream>

namespace flamingofield {

namespace {

constexpr const char *prefix = "flamingofield_";

std::string labels(const std::pair<std::string, std::string> &key)
{
    return "service=\"" + key.first + "\",rank=\"" + key.second + "\"";
}

void writeLatency(std::ostringstream &out, const std::string &label, const latency_histogram &latency)
{
    const auto counts = latency.counts();
    const auto edges = latency_histogram::upperEdgesMs();
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < edges.size(); ++i) {
        sum += counts[i];
        out << prefix << "request_seconds_bucket{" << label << ",le=\"" << edges[i] / 1000.0 << "\"} " << sum << "\n";
    }
    out << prefix << "request_seconds_bucket{" << label << ",le=\"+Inf\"} " << latency.total() << "\n";
    out << prefix << "request_seconds_count{" << label << "} " << latency.total() << "\n";
}

} // namespace

std::string encodeMetricsPage(const service_metrics &services, const counter_table &counters, const metrics_gauges &gauges)
{
    std::ostringstream out;
    for (int i = 0; i < static_cast<int>(counter::count); ++i) {
        const auto c = static_cast<counter>(i);
        out << "# TYPE " << prefix << toString(c) << " counter\n" << prefix << toString(c) << " " << counters.value(c) << "\n";
    }
    out << "# TYPE " << prefix << "connections gauge\n" << prefix << "connections " << gauges.connections.open << "\n";
    out << "# TYPE " << prefix << "connections_refused_total counter\n"
        << prefix << "connections_refused_total " << gauges.connections.refused << "\n";
    out << "# TYPE " << prefix << "requests_malformed_total counter\n"
        << prefix << "requests_malformed_total " << gauges.connections.malformed << "\n";
    out << "# TYPE " << prefix << "heads_expired_total counter\n" << prefix << "heads_expired_total " << gauges.connections.expired << "\n";
    out << "# TYPE " << prefix << "outcomes_kept gauge\n" << prefix << "outcomes_kept " << gauges.outcomes << "\n";
    const auto collected = services.collect(std::chrono::steady_clock::now());
    out << "# TYPE " << prefix << "requests_total counter\n";
    for (const auto &[key, metrics] : collected) {
        for (std::size_t i = 0; i < requestEndCount; ++i) {
            out << prefix << "requests_total{" << labels(key) << ",end=\"" << toString(static_cast<request_end>(i)) << "\"} "
                << metrics.ends[i] << "\n";
        }
    }
    out << "# TYPE " << prefix << "request_seconds histogram\n";
    for (const auto &[key, metrics] : collected) {
        writeLatency(out, labels(key), metrics.latency);
    }
    return out.str();
}

} // namespace flamingofield
