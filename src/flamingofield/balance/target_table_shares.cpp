#include "balance/target_table.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

/// Probability of being unhealthy to which the estimate of an unused target tends; only above it there is evidence of failures.
constexpr double unknownProbability = defaultTransitionRates.failure / (defaultTransitionRates.failure + defaultTransitionRates.recovery);
/// Targets above this probability do not count as capacity.
constexpr double unhealthyThreshold = 0.5;
/// Paths to this many targets and to this share of a data centre's targets must fail before the link to it counts as lossy; fewer are
/// failures of single targets, which the choice of a target already considers.
constexpr int minFailingPaths = 3;
constexpr double lossyLinkThreshold = 0.15;
/// Round trips up to this much above those within the data centre are usual between data centres.
constexpr milliseconds usualExtraRoundTrip{10};
/// A longer connect time raises the estimate by this share of the difference; a shorter one replaces it, since delays of the event
/// loop only ever add to the round trip.
constexpr int roundTripRiseDivisor = 10;

double evidenceOfFailure(const health_filter &filter, instant now)
{
    return std::max(0.0, filter.unhealthyProbability(now) - unknownProbability) / (1.0 - unknownProbability);
}

} // namespace

void target_table::setPeerDataCentre(std::uint64_t peer, const std::string &dataCentre)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end()) {
        found->second.dataCentre = dataCentre;
    }
}

void target_table::recordConnectTime(const target_row &row, duration taken)
{
    const auto [position, isNew] = m_roundTrips.try_emplace(row.entry.dataCentre, taken);
    duration &roundTrip = position->second;
    roundTrip = taken < roundTrip ? taken : roundTrip + (taken - roundTrip) / roundTripRiseDivisor;
}

target_table::centre_states target_table::linkStates(instant now) const
{
    struct paths
    {
        int targets = 0;
        int failing = 0;
        double evidence = 0.0;
    };
    std::map<std::string, paths> byCentre;
    for (const auto &[key, row] : m_rows) {
        if (row.isPresent) {
            paths &centre = byCentre[row.entry.dataCentre];
            const double evidence = evidenceOfFailure(row.path, now);
            ++centre.targets;
            centre.failing += evidence > unhealthyThreshold ? 1 : 0;
            centre.evidence += evidence;
        }
    }
    centre_states links;
    const auto home = m_roundTrips.find(m_dataCentre);
    const duration homeRoundTrip = home == m_roundTrips.end() ? duration::zero() : home->second;
    for (const auto &[name, centre] : byCentre) {
        data_centre_state &link = links[name];
        const double loss = centre.evidence / centre.targets;
        const auto roundTrip = m_roundTrips.find(name);
        if (name != m_dataCentre) {
            link.lossShare = centre.failing >= minFailingPaths && loss >= lossyLinkThreshold ? loss : 0.0;
            link.extraRoundTrip = roundTrip == m_roundTrips.end()
                ? duration::zero()
                : std::max(duration::zero(), roundTrip->second - homeRoundTrip - duration(usualExtraRoundTrip));
        }
    }
    for (auto &[name, link] : links) {
        link.age = name == m_dataCentre ? duration::zero() : duration::max();
        for (const auto &[peer, counts] : m_peers) {
            if (counts.dataCentre == name) {
                link.age = std::min(link.age, now - counts.lastReportAt);
            }
        }
    }
    return links;
}

std::map<std::string, target_table::centre_states> target_table::statesFor(const std::map<std::string, service_traffic> &services,
                                                                           instant now) const
{
    const centre_states links = linkStates(now);
    std::map<std::string, centre_states> states;
    for (const auto &[service, traffic] : services) {
        const auto rows = m_byService.find(service);
        if (rows == m_byService.end()) {
            continue;
        }
        centre_states &centres = states[service];
        centres[m_dataCentre].isHome = true;
        for (const target_row *row : rows->second) {
            const auto [position, isNew] = centres.try_emplace(row->entry.dataCentre);
            data_centre_state &centre = position->second;
            const auto link = links.find(row->entry.dataCentre);
            if (isNew && link != links.end()) {
                centre = link->second;
            }
            const bool isHealthy = row->health.unhealthyProbability(now) < unhealthyThreshold
                && row->path.unhealthyProbability(now) < unhealthyThreshold && row->closedUntil <= now;
            centre.slots += row->entry.slots;
            centre.healthySlots += isHealthy ? row->entry.slots : 0.0;
            const double failures
                = std::min(1.0, unhealthyFailureShare * (evidenceOfFailure(row->health, now) + evidenceOfFailure(row->path, now)));
            centre.failureShare += isHealthy ? row->entry.slots * failures : 0.0;
            centre.work += inFlight(*row, now);
            centre.homeWork += row->ownInFlight;
        }
        for (auto &[name, centre] : centres) {
            centre.dataCentre = name;
            centre.failureShare = centre.healthySlots > 0.0 ? centre.failureShare / centre.healthySlots : 0.0;
        }
    }
    addPeerWork(states);
    return states;
}

void target_table::addPeerWork(std::map<std::string, centre_states> &states) const
{
    for (const auto &[peer, counts] : m_peers) {
        for (const auto &[key, report] : counts.rows) {
            const auto target = m_rows.find(key);
            if (counts.isExpired || report.inFlight == 0 || target == m_rows.end()) {
                continue;
            }
            const auto service = states.find(target->second.entry.service);
            if (service == states.end()) {
                continue;
            }
            const std::string &targetCentre = target->second.entry.dataCentre;
            const auto at = service->second.find(targetCentre);
            if (counts.dataCentre == m_dataCentre && at != service->second.end()) {
                at->second.homeWork += report.inFlight;
            } else if (targetCentre == m_dataCentre && !counts.dataCentre.empty()) {
                data_centre_state &origin = service->second[counts.dataCentre];
                origin.dataCentre = counts.dataCentre;
                origin.workAtHome += report.inFlight;
            }
        }
    }
}

void target_table::updateShares(const std::map<std::string, service_traffic> &services, const share_settings &settings, instant now)
{
    expirePeerReports(now);
    for (const auto &[service, centres] : statesFor(services, now)) {
        std::vector<data_centre_state> states;
        for (const auto &[name, centre] : centres) {
            states.push_back(centre);
        }
        m_shares[service].update(states, services.at(service), settings, now);
    }
    for (auto position = m_shares.begin(); position != m_shares.end();) {
        const bool isGone = m_byService.count(position->first) == 0 || services.count(position->first) == 0;
        position = isGone ? m_shares.erase(position) : std::next(position);
    }
}

std::vector<std::pair<std::string, data_centre_share>> target_table::takeShareChanges(instant now)
{
    std::vector<std::pair<std::string, data_centre_share>> changes;
    for (auto &[service, share] : m_shares) {
        for (auto &change : share.takeChanges(now)) {
            changes.emplace_back(service, std::move(change));
        }
    }
    return changes;
}

} // namespace flamingofield
