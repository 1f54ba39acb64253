#pragma once

#include "core/time.hpp"

#include <cstdint>

namespace flamingofield {

/// When one kind of store content is read: by the data centre's reader at a steady pace, and by any other node only when
/// it has had no fresh news from a reader. Few calls while all is well; no dependence on a reader that is cut off.
class reading_schedule
{
public:
    struct pace
    {
        milliseconds readerInterval; ///< Between two reads of the reader.
        milliseconds staleAfter; ///< Age of the news after which a node reads by itself.
        milliseconds rankDelay; ///< Added for each place behind the reader, so that the next one steps in first.
        milliseconds firstRetry; ///< After a failed read.
        milliseconds lastRetry; ///< Longest pause between failed reads of the first few nodes; each pause doubles.
        milliseconds lastRetryOfOthers; ///< The same of all others, which hear from those when the store is back.
    };

    /// How long a node that knows nothing waits for its peers before it reads. Callers may be waiting, so the delay is short;
    /// at the first start of the whole system there are none yet, and the delays of many nodes are spread so that few are
    /// short: the first readers serve the others.
    /// @param seed differs from node to node
    static milliseconds firstReadAfter(bool isFirstStart, std::uint64_t seed);

    explicit reading_schedule(const pace &p)
        : m_pace(p)
    {
    }

    /// @param age of the newest confirmation, from own reads or peers; the time since the start if there was none
    /// @param rank place of this node in its data centre, the reader has 0
    bool isDue(std::size_t rank, duration age, instant now) const;

    /// @param rank place of this node among those that may read, also if it knows nothing and reads out of turn
    void setRank(std::size_t rank)
    {
        m_rank = rank;
    }

    /// True if no read runs and none has to wait after a failure.
    bool isIdle(instant now) const
    {
        return !m_isRunning && now >= m_failedAt + pause();
    }

    void started(instant now);
    void succeeded();
    void failed(instant now);

private:
    /// Time without a read after the last failures.
    duration pause() const;

    pace m_pace;
    std::size_t m_rank = 0;
    bool m_isRunning = false;
    int m_failures = 0;
    instant m_startedAt{};
    instant m_failedAt{};
};

} // namespace flamingofield
