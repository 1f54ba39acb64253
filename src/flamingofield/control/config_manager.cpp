#include "control/config_manager.hpp"

#include "core/hash.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

constexpr std::size_t maxHistoryEntries = 8;
constexpr std::size_t maxRejections = 8;

} // namespace

void config_manager::recordRejection(const config_stamp &stamp, const std::string &source, const std::string &reason)
{
    m_rejected.push_back({stamp, source, reason});
    if (m_rejected.size() > maxRejections) {
        m_rejected.pop_front();
    }
}

offer_outcome config_manager::offer(const std::string &text, std::uint64_t revision, const std::string &source, instant now)
{
    m_highestRevision = std::max(m_highestRevision, revision);
    const std::uint64_t hash = hashOf(text);
    if (hash == m_lastInvalidHash) {
        return offer_outcome::invalid;
    }
    auto parsed = parseOperatorConfig(text);
    if (!parsed) {
        m_lastInvalidHash = hash;
        const auto &faults = parsed.error();
        recordRejection({0, revision}, source, describe(faults.front(), "text") + " (" + std::to_string(faults.size()) + " faults)");
        return offer_outcome::invalid;
    }
    const config_identity candidate{{parsed.value().version, revision}, hash};
    switch (decideOffer(m_identity, candidate)) {
    case config_decision::same:
        m_identity.stamp.revision = std::max(m_identity.stamp.revision, revision);
        return offer_outcome::same;
    case config_decision::stale:
        recordRejection(candidate.stamp, source, "older than the active configuration");
        return offer_outcome::stale;
    case config_decision::conflict:
        recordRejection(candidate.stamp, source,
                        "has the version of the active configuration but different content, and no later store revision");
        return offer_outcome::conflict;
    case config_decision::replaceConflicting:
        recordRejection(m_identity.stamp, m_source, "replaced by a later store revision with the same version and different content");
        activate(std::move(parsed.value()), text, candidate, source, now);
        return offer_outcome::conflict;
    case config_decision::accept:
        break;
    }
    activate(std::move(parsed.value()), text, candidate, source, now);
    return offer_outcome::accepted;
}

void config_manager::activate(operator_config config, const std::string &rawText, const config_identity &identity,
                              const std::string &source, instant now)
{
    m_identity = identity;
    m_rawText = rawText;
    m_config = std::make_shared<const operator_config>(std::move(config));
    m_routes = std::make_shared<const route_table>(m_config->routes);
    m_source = source;
    m_activeSince = now;
    m_history.push_back({identity.stamp, partHashes(rawText)});
    if (m_history.size() > maxHistoryEntries) {
        m_history.pop_front();
    }
}

std::optional<config_reply> config_manager::makeReply(const config_request &request) const
{
    if (m_config == nullptr || !(request.base < m_identity.stamp)) {
        return std::nullopt;
    }
    const auto base = std::find_if(m_history.begin(), m_history.end(), [&](const auto &p) { return p.stamp == request.base; });
    config_reply reply;
    reply.stamp = m_identity.stamp;
    reply.base = base == m_history.end() ? config_stamp() : base->stamp;
    reply.delta = makeDelta(m_rawText, base == m_history.end() ? std::vector<std::uint64_t>() : base->hashes);
    reply.hash = m_identity.hash;
    return reply;
}

offer_outcome config_manager::applyReply(const config_reply &reply, const std::string &source, instant now)
{
    if (!(m_identity.stamp < reply.stamp)) {
        return offer_outcome::same;
    }
    const bool isBaseActive = reply.base == config_stamp() || reply.base == m_identity.stamp;
    const auto text = isBaseActive
        ? applyDelta(reply.delta, reply.base == config_stamp() ? std::string_view() : std::string_view(m_rawText))
        : result<std::string>(error{"apply delta", source, "the delta's base is not the active configuration"});
    if (!text || hashOf(text.value()) != reply.hash) {
        return offer_outcome::incomplete;
    }
    return offer(text.value(), reply.stamp.revision, source, now);
}

} // namespace flamingofield
