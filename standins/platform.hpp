#pragma once

#include "config/store_client.hpp"
#include "gate/connection_server.hpp"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace standins {

/// How the platform stand-in treats its readers.
struct platform_behaviour
{
    bool isAway = false; ///< Every call fails.
    std::uint64_t staleRevision = 0; ///< Above 0: shows nothing later than this revision.
    flamingofield::milliseconds delay{0};
    double maxReadsPerSecond = 2000.0; ///< Calls beyond are refused; a waiting watch counts as one.
};

/// Stand-in for the platform: a configuration store that can be read and watched, and the VM list.
class platform
{
public:
    platform();
    ~platform();
    platform(const platform &) = delete;
    platform &operator=(const platform &) = delete;

    flamingofield::result<std::uint16_t> start(const flamingofield::endpoint &address);
    void stop();

    /// Publishes a text under the next revision.
    /// @return the revision
    std::uint64_t publish(const std::string &text);

    void setVms(std::vector<flamingofield::listed_vm> vms);
    void setBehaviour(const platform_behaviour &behaviour);

    std::uint64_t reads() const;
    std::uint64_t refusals() const;

    /// Most calls counted in any one second since the last reset.
    std::uint64_t peakReadsPerSecond() const;
    void resetPeak();

private:
    flamingofield::http_answer handle(const flamingofield::http_request &request);
    flamingofield::http_answer config(const flamingofield::http_request &request);
    flamingofield::http_answer vms() const;
    bool countRead();
    std::uint64_t visibleRevision() const;

    mutable std::mutex m_mutex;
    std::condition_variable m_published;
    std::map<std::uint64_t, std::string> m_texts;
    std::vector<flamingofield::listed_vm> m_vms;
    platform_behaviour m_behaviour;
    std::deque<flamingofield::instant> m_recent;
    std::uint64_t m_reads = 0;
    std::uint64_t m_refusals = 0;
    std::uint64_t m_peak = 0;
    bool m_isStopping = false;
    flamingofield::connection_server m_server;
};

} // namespace standins
