#include "report/burn_report.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace flamingofield {

namespace {

using nlohmann::json;

constexpr double medianQuantile = 0.5;
constexpr double tailQuantile = 0.99;
constexpr int barWidth = 240;
constexpr double maxBarBurnRate = 10.0; // Burn rate at the right edge of a bar.

burn_row &findOrAddRow(burn_report &report, const std::string &service, const std::string &rank)
{
    const auto found
        = std::find_if(report.rows.begin(), report.rows.end(), [&](const auto &r) { return r.service == service && r.rank == rank; });
    if (found != report.rows.end()) {
        return *found;
    }
    report.rows.emplace_back();
    report.rows.back().service = service;
    report.rows.back().rank = rank;
    return report.rows.back();
}

void addCount(objective_count &sum, const json &part)
{
    sum.good += part.at("good").get<std::uint64_t>();
    sum.total += part.at("total").get<std::uint64_t>();
}

std::string formatNumber(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", value);
    return text;
}

std::string escapeHtml(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        switch (c) {
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '&':
            escaped += "&amp;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += c;
        }
    }
    return escaped;
}

std::string burnBar(double burn)
{
    const double width = std::min(burn / maxBarBurnRate, 1.0) * barWidth;
    const char *colour = burn > 2.0 ? "#c0392b" : burn > 1.0 ? "#e67e22" : "#27ae60";
    return "<svg width=\"" + std::to_string(barWidth) + "\" height=\"14\"><rect width=\"" + std::to_string(barWidth)
        + "\" height=\"14\" fill=\"#eee\"/><rect width=\"" + formatNumber(width) + "\" height=\"14\" fill=\"" + colour + "\"/></svg>";
}

std::string latencyPlot(const latency_histogram &latency)
{
    const auto counts = latency.counts();
    const auto highestCount = std::max<std::uint64_t>(1, *std::max_element(counts.begin(), counts.end()));
    std::string svg = "<svg width=\"264\" height=\"40\">";
    for (std::size_t i = 0; i < counts.size(); ++i) {
        const double height = 40.0 * static_cast<double>(counts[i]) / static_cast<double>(highestCount);
        svg += "<rect x=\"" + std::to_string(i * 4) + "\" y=\"" + formatNumber(40.0 - height) + "\" width=\"3\" height=\""
            + formatNumber(height) + "\" fill=\"#2980b9\"/>";
    }
    return svg + "</svg>";
}

} // namespace

double burnRate(const objective_count &window, double objective)
{
    if (window.total == 0) {
        return 0.0;
    }
    const double bad = static_cast<double>(window.total - window.good) / static_cast<double>(window.total);
    return bad / (1.0 - objective);
}

bool addStatus(burn_report &report, std::string_view statusJson)
{
    const json page = json::parse(statusJson, nullptr, false);
    if (!page.is_object()) {
        return false;
    }
    try {
        for (const auto &part : page.at("requests")) {
            burn_row &row = findOrAddRow(report, part.at("service"), part.at("rank"));
            if (page.at("ranks").contains(row.rank)) {
                row.objective = page["ranks"][row.rank].at("objective");
                row.reportWeight = page["ranks"][row.rank].at("worth");
            }
            addCount(row.shortWindow, part.at("short"));
            addCount(row.longWindow, part.at("long"));
            for (const auto &[end, count] : part.at("ends").items()) {
                row.ends[end] += count.get<std::uint64_t>();
            }
            row.latency.addCounts(part.at("latency").get<std::vector<std::uint64_t>>());
        }
    } catch (const json::exception &) {
        return false;
    }
    return true;
}

std::string toTable(const burn_report &report)
{
    std::ostringstream out;
    char line[256];
    std::snprintf(line, sizeof line, "%-12s %-12s %9s %10s %10s %9s %9s %9s\n", "service", "rank", "objective", "burn 5min", "burn 1h",
                  "requests", "p50 ms", "p99 ms");
    out << line;
    for (const auto &row : report.rows) {
        std::snprintf(line, sizeof line, "%-12s %-12s %9.4f %10.2f %10.2f %9llu %9.1f %9.1f\n", row.service.c_str(), row.rank.c_str(),
                      row.objective, burnRate(row.shortWindow, row.objective), burnRate(row.longWindow, row.objective),
                      static_cast<unsigned long long>(row.longWindow.total), row.latency.quantileMs(medianQuantile),
                      row.latency.quantileMs(tailQuantile));
        out << line;
    }
    out << "nodes answered: " << report.answered.size() << ", missing: " << report.missing.size() << "\n";
    for (const auto &node : report.missing) {
        out << "  missing " << node << "\n";
    }
    return out.str();
}

std::string toJson(const burn_report &report)
{
    json rows = json::array();
    for (const auto &row : report.rows) {
        rows.push_back({{"service", row.service},
                        {"rank", row.rank},
                        {"objective", row.objective},
                        {"worth", row.reportWeight},
                        {"burnShort", burnRate(row.shortWindow, row.objective)},
                        {"burnLong", burnRate(row.longWindow, row.objective)},
                        {"requests", row.longWindow.total},
                        {"ends", row.ends},
                        {"p50Ms", row.latency.quantileMs(medianQuantile)},
                        {"p99Ms", row.latency.quantileMs(tailQuantile)}});
    }
    return json{{"rows", rows}, {"answered", report.answered}, {"missing", report.missing}}.dump(2);
}

std::string toHtml(const burn_report &report)
{
    std::ostringstream out;
    out << "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title><style>"
        << "body{font-family:sans-serif;margin:2em}td,th{padding:4px 12px;text-align:left;border-bottom:1px solid "
           "#ddd}</style></head><body>"
        << "<h1>Service-level burn</h1><p>" << report.answered.size() << " nodes answered, " << report.missing.size() << " missing.</p>";
    for (const auto &node : report.missing) {
        out << "<p>Missing: " << escapeHtml(node) << "</p>";
    }
    out << "<table><tr><th>Service</th><th>Rank</th><th>Objective</th><th>Burn, 5 min</th><th>Burn, 1 h</th><th>Requests</th><th>Latency "
           "(log scale, 0.1 ms to 100 s)</th></tr>";
    for (const auto &row : report.rows) {
        const double shortBurn = burnRate(row.shortWindow, row.objective);
        const double longBurn = burnRate(row.longWindow, row.objective);
        out << "<tr><td>" << escapeHtml(row.service) << "</td><td>" << escapeHtml(row.rank) << "</td><td>" << row.objective << "</td><td>"
            << burnBar(shortBurn) << " " << formatNumber(shortBurn) << "</td><td>" << burnBar(longBurn) << " " << formatNumber(longBurn)
            << "</td><td>" << row.longWindow.total << "</td><td>" << latencyPlot(row.latency) << "</td></tr>";
    }
    out << "</table></body></html>\n";
    return out.str();
}

} // namespace flamingofield
