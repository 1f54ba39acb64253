#pragma once

#include "core/time.hpp"

#include <cstdint>

namespace flamingofield {

/// What a node without content knows of the others after its start.
enum class start_knowledge {
    firstInLine, ///< It is among the first that should read for the others.
    alone, ///< It has heard of no other node.
    behindOthers, ///< Others should read before it.
};

/// Decides when a node reads one kind of content from the store. One node of the data centre, the reader, reads at fixed intervals;
/// the others read only if their copies have not been confirmed by a reader recently. This takes few store calls, and the other
/// nodes do not depend on a reader that is cut off.
class reading_schedule
{
public:
    struct read_intervals
    {
        milliseconds readerInterval; ///< Between the starts of two reads of the reader.
        milliseconds staleAfter; ///< Age of the last confirmation from which a node other than the reader reads itself.
        milliseconds positionDelay; ///< Added to staleAfter for each position, so that the node next to the reader reads first.
        milliseconds initialRetryDelay; ///< Delay after the first failed read; doubles with each further one.
        milliseconds maxRetryDelay; ///< Maximum delay of the nodes of the first few positions.
        milliseconds maxRetryDelayOfOthers; ///< Maximum delay of all others, which receive the content from those once the store is back.
    };

    /// Time that a node without any content waits for its peers before it reads from the store itself. The delay is short, since
    /// callers may be waiting. At the first start of the whole system there are no callers yet; then the delays are spread so that
    /// only few nodes read early, and the others get the content from them. They are also spread after a restart, in which all nodes may
    /// take part, for those that know others to read before them.
    /// @param isFirstStart true at the first start of the whole system
    /// @param seed differs from node to node
    static milliseconds initialReadDelay(bool isFirstStart, std::uint64_t seed, start_knowledge knowledge = start_knowledge::firstInLine);

    explicit reading_schedule(const read_intervals &intervals)
        : m_intervals(intervals)
    {
    }

    /// True if the node should read now.
    /// @param age time since the newest confirmation by a read of this node or a peer, or since the start if there was none
    /// @param position of this node in its data centre; 0 is the reader
    bool isDue(std::size_t position, duration age, instant now) const;

    /// Sets the position that decides the maximum delay after failures, also for reads of a node that has no content yet.
    void setPosition(std::size_t position)
    {
        m_position = position;
    }

    /// Sets the number of nodes that would read besides this one, and its place among them. While the store cannot be reached by the
    /// first positions, the others take turns, so that the store's load does not grow with the fleet.
    /// @param nodes zero for a node that hears from no other one and depends on its own reads
    /// @param fraction differs from node to node, at least 0 and below 1
    void setCrowd(std::size_t nodes, double fraction);

    /// True if the position is among the first, which read before all others.
    static bool isFirstInLine(std::size_t position);

    /// True if no read is running and the delay after failures is over.
    bool isIdle(instant now) const
    {
        return !m_isRunning && now >= m_failedAt + retryDelay();
    }

    void started(instant now);
    void succeeded();
    void failed(instant now);

private:
    /// Delay before the next read after the latest failures.
    duration retryDelay() const;

    read_intervals m_intervals;
    std::size_t m_position = 0;
    milliseconds m_turn{0}; ///< Additional delay of the first read of a node behind the first positions.
    milliseconds m_round{0}; ///< Time in which all such nodes have read once.
    bool m_isRunning = false;
    int m_failures = 0;
    instant m_startedAt{};
    instant m_failedAt{};
};

} // namespace flamingofield
