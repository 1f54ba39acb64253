#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <optional>

namespace flamingofield {

/// Tells the confirmations of all nodes apart.
struct confirmation_id
{
    std::uint16_t reader = 0; ///< Differs from process to process; zero if the peer is of a release that tells none.
    std::uint16_t number = 0; ///< Counts the reader's confirmations, beginning anew after the last number.
};

/// Latest time at which a reader, this node or another one, confirmed at the store that this node's copy of a document is current.
///
/// Peers tell ages, not times, so each message makes a time later by its delay. A confirmation that is already known is therefore not
/// taken from another peer again: messages that go round would keep a copy fresh that nobody reads.
class confirmation
{
public:
    /// @param reader identifies this process
    confirmation(instant startedAt, std::uint16_t reader)
        : m_startedAt(startedAt)
        , m_reader(reader)
    {
    }

    /// Records a confirmation by this node.
    void record(confirmation_id own, instant at);

    /// Records a confirmation that a peer tells.
    /// @return true if it was not known, and is later than the one that is
    bool recordTold(confirmation_id id, instant at);

    /// Time since the latest confirmation, or since the process start if there was none.
    duration age(instant now) const
    {
        return now - m_at.value_or(m_startedAt);
    }

    /// Unset without a confirmation, since a process start confirms nothing.
    std::optional<instant> at() const
    {
        return m_at;
    }

    confirmation_id id() const
    {
        return m_id;
    }

private:
    bool isNews(confirmation_id id, instant at) const;

    instant m_startedAt;
    std::uint16_t m_reader;
    confirmation_id m_id;
    std::optional<instant> m_at;
};

} // namespace flamingofield
