#pragma once

#include "config/operator_text.hpp"
#include "config/revision_gate.hpp"
#include "config/route_table.hpp"
#include "core/time.hpp"
#include "fleet/peer_message.hpp"

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace flamingofield {

/// A text that was not taken, for operators.
struct refused_text
{
    config_stamp stamp;
    std::string source;
    std::string reason;
};

/// How an offered text was dealt with.
enum class offer_outcome { accepted, same, stale, conflict, invalid, incomplete };

/// The text in force and how it came. Not thread-safe, reads no clock.
class config_keeper
{
public:
    /// Offers a text as read from the store or rebuilt from a peer.
    /// @param source "store" or the peer's address
    offer_outcome offer(const std::string &text, std::uint64_t revision, const std::string &source, instant now);

    /// Answers a peer's request with a delta to its base where that is still known.
    std::optional<config_reply> reply(const config_request &request) const;

    /// Offers the text of a peer's reply.
    offer_outcome take(const config_reply &reply, const std::string &source, instant now);

    /// Stamp of the text in force; version 0 for none.
    config_stamp stamp() const
    {
        return m_identity.stamp;
    }

    /// Highest store revision read, whether or not its text was taken.
    std::uint64_t highestRevision() const
    {
        return m_highestRevision;
    }

    std::shared_ptr<const operator_text> text() const
    {
        return m_text;
    }

    std::shared_ptr<const route_table> routes() const
    {
        return m_routes;
    }

    const std::string &source() const
    {
        return m_source;
    }

    instant since() const
    {
        return m_since;
    }

    const std::deque<refused_text> &refused() const
    {
        return m_refused;
    }

private:
    struct past_text
    {
        config_stamp stamp;
        std::vector<std::uint64_t> hashes;
    };

    void refuse(const config_stamp &stamp, const std::string &source, const std::string &reason);
    void enforce(operator_text text, const std::string &raw, const text_identity &identity, const std::string &source, instant now);

    text_identity m_identity;
    std::string m_raw;
    std::shared_ptr<const operator_text> m_text;
    std::shared_ptr<const route_table> m_routes;
    std::uint64_t m_highestRevision = 0;
    std::uint64_t m_lastInvalidHash = 0;
    std::string m_source;
    instant m_since;
    std::deque<past_text> m_past;
    std::deque<refused_text> m_refused;
};

} // namespace flamingofield
