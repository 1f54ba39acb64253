#pragma once

#include "config/config_decision.hpp"
#include "config/operator_config.hpp"
#include "config/route_table.hpp"
#include "core/time.hpp"
#include "fleet/peer_message.hpp"

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace flamingofield {

/// A configuration that was not activated or was replaced in a conflict, as the status page lists it.
struct rejected_config
{
    config_stamp stamp;
    std::string source;
    std::string reason;
};

/// Result of offering a configuration.
enum class offer_outcome { accepted, same, stale, conflict, invalid, incomplete };

/// The active configuration, where it came from, and which configurations were rejected. Not thread-safe, reads no clock.
class config_manager
{
public:
    /// Parses a text from the store or a peer and activates it if it is newer than the active configuration.
    /// @param revision store revision of the text
    /// @param source "store" or the peer's address
    offer_outcome offer(const std::string &text, std::uint64_t revision, const std::string &source, instant now);

    /// Builds the reply to a peer's request: a delta if the base is in the history, otherwise the complete text.
    /// @return nothing if the peer's configuration is as new as the active one
    std::optional<config_reply> makeReply(const config_request &request) const;

    /// Rebuilds the text of a peer's reply and offers it.
    /// @return incomplete if the reply's base is not active here or the hash of the rebuilt text differs
    offer_outcome applyReply(const config_reply &reply, const std::string &source, instant now);

    /// Stamp of the active configuration; version 0 for none.
    config_stamp stamp() const
    {
        return m_identity.stamp;
    }

    /// Highest store revision seen, whether or not its text was activated.
    std::uint64_t highestRevision() const
    {
        return m_highestRevision;
    }

    std::shared_ptr<const operator_config> config() const
    {
        return m_config;
    }

    std::shared_ptr<const route_table> routes() const
    {
        return m_routes;
    }

    const std::string &source() const
    {
        return m_source;
    }

    instant activeSince() const
    {
        return m_activeSince;
    }

    const std::deque<rejected_config> &rejected() const
    {
        return m_rejected;
    }

private:
    struct past_config
    {
        config_stamp stamp;
        std::vector<std::uint64_t> hashes; ///< Of its parts, see partHashes().
    };

    void recordRejection(const config_stamp &stamp, const std::string &source, const std::string &reason);
    void activate(operator_config config, const std::string &rawText, const config_identity &identity, const std::string &source,
                  instant now);

    config_identity m_identity;
    std::string m_rawText;
    std::shared_ptr<const operator_config> m_config;
    std::shared_ptr<const route_table> m_routes;
    std::uint64_t m_highestRevision = 0;
    std::uint64_t m_lastInvalidHash = 0;
    std::string m_source;
    instant m_activeSince;
    std::deque<past_config> m_history;
    std::deque<rejected_config> m_rejected;
};

} // namespace flamingofield
