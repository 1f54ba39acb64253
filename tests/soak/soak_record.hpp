#pragma once

#include "core/time.hpp"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace soak {

using flamingofield::duration;
using flamingofield::instant;

/// What a fault touches.
enum class subject_kind {
    process, ///< A node's process, without a planned stop.
    planned_stop, ///< A node from its SIGTERM to its next start.
    gate_link, ///< Between callers and a node.
    store_link, ///< Between a node and the store.
    server, ///< A backend server or the link before it.
    store, ///< The store itself.
};

/// One thing that a fault touches.
struct subject
{
    subject_kind kind = subject_kind::store;
    std::size_t index = 0;

    bool operator<(const subject &other) const
    {
        return kind != other.kind ? kind < other.kind : index < other.index;
    }
};

/// When what was disturbed. Written by the injector, read by the checks; safe to use from several threads.
class disturbance_log
{
public:
    void begin(subject on, instant at);
    void end(subject on, instant at);

    /// True if the subject was disturbed at some moment between two times.
    bool isDisturbed(subject on, instant from, instant to) const;

    /// True if any subject of a kind was.
    bool isAnyDisturbed(subject_kind kind, instant from, instant to) const;

private:
    struct span
    {
        instant begin;
        instant end;
    };

    mutable std::mutex m_mutex;
    std::map<subject, std::vector<span>> m_spans;
};

/// Planned or sudden end of a node's process.
struct process_event
{
    std::size_t node = 0;
    instant at{};
    bool isPlannedStop = false; ///< SIGTERM; otherwise the process was started.
};

/// A configuration or a server's leaving, as acknowledged by the store.
struct store_event
{
    int version = 0; ///< Of the configuration; zero for a server.
    std::size_t server = 0;
    instant acknowledgedAt{};
    instant revokedAt = instant::max(); ///< When the server was registered again.
};

/// One request of a caller and what became of it.
struct call_record
{
    std::string id;
    std::size_t node = 0;
    int version = 0; ///< The configuration that brought the path; zero for paths of all configurations.
    bool mayRepeat = false;
    instant sentAt{};
    instant endedAt{};
    int status = 0; ///< Zero if no whole answer came.
    bool wasSent = false; ///< A byte of the request may have left.
    bool hasSeal = false;
    std::string answeredId; ///< Request id on the answer.
    std::string body;
    std::string problem;
};

/// All that a run is judged by.
struct run_record
{
    std::vector<call_record> calls;
    std::vector<process_event> processes;
    std::vector<store_event> changes;
};

} // namespace soak
