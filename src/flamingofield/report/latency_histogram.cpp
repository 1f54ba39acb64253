#include "report/latency_histogram.hpp"

#include <boost/histogram.hpp>

namespace flamingofield {

namespace bh = boost::histogram;

namespace {

constexpr double minMs = 0.1;
constexpr double maxMs = 100000.0;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;

auto makeHistogram()
{
    return bh::make_histogram_with(std::vector<std::uint64_t>(), log_axis(latencyBins, minMs, maxMs));
}

} // namespace

struct latency_histogram::data
{
    decltype(makeHistogram()) histogram = makeHistogram();
};

latency_histogram::latency_histogram()
    : m_data(std::make_unique<data>())
{
}

latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(latency_histogram &&other) noexcept = default;
latency_histogram &latency_histogram::operator=(latency_histogram &&other) noexcept = default;

latency_histogram::latency_histogram(const latency_histogram &other)
    : m_data(std::make_unique<data>(*other.m_data))
{
}

latency_histogram &latency_histogram::operator=(const latency_histogram &other)
{
    if (this != &other) {
        m_data = std::make_unique<data>(*other.m_data);
    }
    return *this;
}

void latency_histogram::add(duration latency)
{
    m_data->histogram(toSeconds(latency) * 1000.0);
}

std::uint64_t latency_histogram::total() const
{
    return bh::algorithm::sum(m_data->histogram, bh::coverage::all);
}

std::vector<std::uint64_t> latency_histogram::counts() const
{
    std::vector<std::uint64_t> counts;
    for (int bin = -1; bin <= static_cast<int>(latencyBins); ++bin) {
        counts.push_back(m_data->histogram.at(bin));
    }
    return counts;
}

void latency_histogram::addCounts(const std::vector<std::uint64_t> &counts)
{
    if (counts.size() != latencyBins + 2) {
        return;
    }
    for (int bin = -1; bin <= static_cast<int>(latencyBins); ++bin) {
        m_data->histogram.at(bin) += counts[static_cast<std::size_t>(bin) + 1];
    }
}

std::vector<double> latency_histogram::upperEdgesMs()
{
    const log_axis axis(latencyBins, minMs, maxMs);
    std::vector<double> edges;
    for (int bin = -1; bin < static_cast<int>(latencyBins); ++bin) {
        edges.push_back(axis.value(bin + 1));
    }
    return edges;
}

double latency_histogram::quantileMs(double quantile) const
{
    const std::vector<std::uint64_t> bins = counts();
    const std::vector<double> edges = upperEdgesMs();
    const double wantedCount = quantile * static_cast<double>(total());
    double cumulativeCount = 0.0;
    for (std::size_t i = 0; i < edges.size(); ++i) {
        cumulativeCount += static_cast<double>(bins[i]);
        if (cumulativeCount >= wantedCount) {
            return edges[i];
        }
    }
    return maxMs;
}

} // namespace flamingofield
