#include "proxy/proxy_metrics.hpp"

#include <iterator>
#include <sstream>

namespace flamingofield {

namespace {

/// Limits memory use: label sets beyond this many are counted under one common label.
constexpr std::size_t maxLabelSets = 2000;
constexpr double secondsPerMillisecond = 0.001;

std::string braced(const std::string &labels)
{
    return labels.empty() ? std::string() : "{" + labels + "}";
}

void writeHistogram(std::ostream &out, const std::string &name, const std::string &labels, const latency_histogram &histogram)
{
    const std::string separator = labels.empty() ? "" : ",";
    const auto counts = histogram.counts();
    const auto edges = latency_histogram::upperEdgesMs();
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        sum += counts[i];
        if (i < edges.size() && counts[i] > 0) {
            out << name << "_bucket{" << labels << separator << "le=\"" << edges[i] * secondsPerMillisecond << "\"} " << sum << "\n";
        }
    }
    out << name << "_bucket{" << labels << separator << "le=\"+Inf\"} " << sum << "\n";
    out << name << "_count" << braced(labels) << " " << sum << "\n";
}

} // namespace

void proxy_metrics::count(std::string_view name, std::string_view labels, std::uint64_t amount)
{
    key entry{std::string(name), std::string(labels)};
    if (m_counters.size() >= maxLabelSets && m_counters.count(entry) == 0) {
        entry.second = "other=\"true\"";
    }
    m_counters[entry] += amount;
}

void proxy_metrics::countAccount(std::string_view name, std::string_view account)
{
    std::string label = "other";
    if (m_accounts.find(account) != m_accounts.end() || m_accounts.size() < maxAccountLabels) {
        m_accounts.emplace(account);
        label.clear();
        // Quotes and backslashes are escaped in label values; names hold no line breaks.
        for (const char each : account) {
            label.append(each == '"' || each == '\\' ? "\\" : "").push_back(each);
        }
    }
    count(name, "account=\"" + label + "\"");
}

void proxy_metrics::gauge(std::string_view name, std::string_view labels, double value)
{
    m_gauges[{std::string(name), std::string(labels)}] = value;
}

void proxy_metrics::clearGauges(std::string_view name)
{
    for (auto position = m_gauges.begin(); position != m_gauges.end();) {
        position = position->first.first == name ? m_gauges.erase(position) : std::next(position);
    }
}

void proxy_metrics::latency(std::string_view name, std::string_view labels, duration taken)
{
    key entry{std::string(name), std::string(labels)};
    if (m_latencies.size() >= maxLabelSets && m_latencies.count(entry) == 0) {
        entry.second = "other=\"true\"";
    }
    m_latencies[entry].add(taken);
}

std::string proxy_metrics::text() const
{
    std::ostringstream out;
    for (const auto &[name, value] : m_counters) {
        out << name.first << braced(name.second) << " " << value << "\n";
    }
    for (const auto &[name, value] : m_gauges) {
        out << name.first << braced(name.second) << " " << value << "\n";
    }
    for (const auto &[name, histogram] : m_latencies) {
        writeHistogram(out, name.first, name.second, histogram);
    }
    return out.str();
}

} // namespace flamingofield
