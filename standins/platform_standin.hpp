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

/// How the platform stand-in answers; may be changed while it runs.
struct platform_behaviour
{
    bool isUnavailable = false; ///< All calls fail.
    std::uint64_t staleRevision = 0; ///< If above 0, later revisions are hidden.
    flamingofield::milliseconds delay{0}; ///< Before each answer with a configuration.
    double maxReadsPerSecond = 2000.0; ///< Further calls are refused; a long poll counts as one.
};

/// Stand-in for the platform: a configuration store that can be read and long-polled, and the VM list.
class platform_standin
{
public:
    platform_standin();
    ~platform_standin();
    platform_standin(const platform_standin &) = delete;
    platform_standin &operator=(const platform_standin &) = delete;

    flamingofield::result<std::uint16_t> start(const flamingofield::endpoint &address);
    void stop();

    /// Publishes a configuration under the next revision.
    /// @return the revision
    std::uint64_t publish(const std::string &text);

    void setVms(std::vector<flamingofield::listed_vm> vms);
    void setBehaviour(const platform_behaviour &behaviour);

    std::uint64_t reads() const;
    std::uint64_t refusals() const;

    /// Highest number of calls within one second since the last reset.
    std::uint64_t peakReadsPerSecond() const;
    void resetPeak();

private:
    flamingofield::http_answer handle(const flamingofield::http_request &request);
    flamingofield::http_answer config(const flamingofield::http_request &request);
    flamingofield::http_answer vms() const;
    /// @return false if the call has to be refused
    bool admitRead();
    std::uint64_t visibleRevision() const;

    mutable std::mutex m_mutex;
    std::condition_variable m_published;
    std::map<std::uint64_t, std::string> m_configs;
    std::vector<flamingofield::listed_vm> m_vms;
    platform_behaviour m_behaviour;
    std::deque<flamingofield::instant> m_recentReads;
    std::uint64_t m_reads = 0;
    std::uint64_t m_refusals = 0;
    std::uint64_t m_peakReadsPerSecond = 0;
    bool m_isStopping = false;
    flamingofield::connection_server m_server;
};

} // namespace standins
