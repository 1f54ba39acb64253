#include "balance/outcome_window.hpp"

#include <algorithm>
#include <cmath>

namespace flamingofield {

outcome_window::service_row &outcome_window::rowOf(std::string_view service)
{
    const auto found = m_rows.find(service);
    return found != m_rows.end() ? found->second : m_rows.emplace(std::string(service), service_row()).first->second;
}

void outcome_window::count(std::string_view service, bool wasServed, instant now)
{
    recent_outcomes &outcomes = rowOf(service).own.at(bucketWidth, now);
    ++(wasServed ? outcomes.served : outcomes.unserved);
}

void outcome_window::addOverdue(std::string_view service)
{
    ++rowOf(service).overdue;
}

void outcome_window::removeOverdue(std::string_view service)
{
    --rowOf(service).overdue;
}

void outcome_window::applyPeerReport(std::uint64_t peer, std::string_view service, recent_outcomes outcomes, instant now)
{
    rowOf(service).peers[peer] = {now, outcomes};
}

recent_outcomes outcome_window::own(std::string_view service, instant now) const
{
    const auto found = m_rows.find(service);
    if (found == m_rows.end()) {
        return {};
    }
    recent_outcomes total = found->second.own.sum(bucketWidth, now);
    total.unserved += found->second.overdue;
    return total;
}

double outcome_window::unservedShare(std::string_view service, instant now) const
{
    recent_outcomes total = own(service, now);
    const auto found = m_rows.find(service);
    if (found != m_rows.end()) {
        for (const auto &[peer, counts] : found->second.peers) {
            if (now - counts.at < peerReportLifetime) {
                total += counts.outcomes;
            }
        }
    }
    const double all = static_cast<double>(total.served) + total.unserved;
    const double unserved = total.unserved;
    return all > 0.0 ? std::max(0.0, unserved - std::sqrt(unserved)) / all : 0.0;
}

} // namespace flamingofield
