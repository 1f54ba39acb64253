#include "control/config_keeper.hpp"

#include "core/hash.hpp"

#include <algorithm>

namespace flamingofield {

namespace {

constexpr std::size_t mostPastTexts = 8;
constexpr std::size_t mostRefused = 8;

} // namespace

void config_keeper::refuse(const config_stamp &stamp, const std::string &source, const std::string &reason)
{
    m_refused.push_back({stamp, source, reason});
    if (m_refused.size() > mostRefused) {
        m_refused.pop_front();
    }
}

offer_outcome config_keeper::offer(const std::string &text, std::uint64_t revision, const std::string &source, instant now)
{
    m_highestRevision = std::max(m_highestRevision, revision);
    const std::uint64_t hash = hashOf(text);
    if (hash == m_lastInvalidHash) {
        return offer_outcome::invalid;
    }
    auto checked = parseOperatorText(text);
    if (!checked) {
        m_lastInvalidHash = hash;
        const auto &faults = checked.error();
        refuse({0, revision}, source, describe(faults.front(), "text") + " (" + std::to_string(faults.size()) + " faults)");
        return offer_outcome::invalid;
    }
    const text_identity offered{{checked.value().version, revision}, hash};
    switch (decideText(m_identity, offered)) {
    case text_decision::same:
        m_identity.stamp.revision = std::max(m_identity.stamp.revision, revision);
        return offer_outcome::same;
    case text_decision::stale:
        refuse(offered.stamp, source, "older than the text in force");
        return offer_outcome::stale;
    case text_decision::conflict:
        refuse(offered.stamp, source, "another text with the version in force");
        return offer_outcome::conflict;
    case text_decision::acceptOverConflict:
        refuse(m_identity.stamp, m_source, "replaced by a later text with the same version");
        enforce(std::move(checked.value()), text, offered, source, now);
        return offer_outcome::conflict;
    case text_decision::accept:
        break;
    }
    enforce(std::move(checked.value()), text, offered, source, now);
    return offer_outcome::accepted;
}

void config_keeper::enforce(operator_text text, const std::string &raw, const text_identity &identity, const std::string &source,
                            instant now)
{
    m_identity = identity;
    m_raw = raw;
    m_text = std::make_shared<const operator_text>(std::move(text));
    m_routes = std::make_shared<const route_table>(m_text->routes);
    m_source = source;
    m_since = now;
    m_past.push_back({identity.stamp, partHashes(raw)});
    if (m_past.size() > mostPastTexts) {
        m_past.pop_front();
    }
}

std::optional<config_reply> config_keeper::reply(const config_request &request) const
{
    if (m_text == nullptr || !(request.base < m_identity.stamp)) {
        return std::nullopt;
    }
    const auto base = std::find_if(m_past.begin(), m_past.end(), [&](const auto &p) { return p.stamp == request.base; });
    config_reply reply;
    reply.stamp = m_identity.stamp;
    reply.base = base == m_past.end() ? config_stamp() : base->stamp;
    reply.delta = makeDelta(m_raw, base == m_past.end() ? std::vector<std::uint64_t>() : base->hashes);
    reply.hash = m_identity.hash;
    return reply;
}

offer_outcome config_keeper::take(const config_reply &reply, const std::string &source, instant now)
{
    if (!(m_identity.stamp < reply.stamp)) {
        return offer_outcome::same;
    }
    const bool hasBase = reply.base == config_stamp() || reply.base == m_identity.stamp;
    const auto text = hasBase ? applyDelta(reply.delta, reply.base == config_stamp() ? std::string_view() : std::string_view(m_raw))
                              : result<std::string>(error{"apply delta", source, "the base is not held"});
    if (!text || hashOf(text.value()) != reply.hash) {
        return offer_outcome::incomplete;
    }
    return offer(text.value(), reply.stamp.revision, source, now);
}

} // namespace flamingofield
