#include "admission/admission_controller.hpp"

namespace flamingofield {

const char *describe(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::queueFull:
        return "the queue of this rank is full";
    case refusal_reason::displaced:
        return "the place in the queue went to a caller that holds fewer";
    case refusal_reason::deadline:
        return "the deadline could not be met";
    case refusal_reason::noTarget:
        return "no backend server takes work";
    }
    return "refused";
}

service_gate::service_gate(rank_queue_limits limits, double retryRatio)
    : m_limits(std::move(limits))
    , m_queue(m_limits)
    , m_retryBudget(retryRatio)
    , m_slotsInUseByRank(m_limits.guaranteedShares.size(), 0)
{
}

slot_result service_gate::acquire(const slot_request &request)
{
    std::unique_lock lock(m_mutex);
    const instant now = std::chrono::steady_clock::now();
    if (now + m_serviceTime >= request.deadline) {
        return slot_refusal{refusal_reason::deadline};
    }
    if (!m_ledger.hasEligible() && !request.pick.canBeTrial) {
        return slot_refusal{refusal_reason::noTarget};
    }
    if (m_queue.isEmpty()) {
        pick_request pick = request.pick;
        pick.now = now;
        if (const auto target = m_ledger.pick(pick)) {
            ++m_slotsInUseByRank[static_cast<std::size_t>(request.rank)];
            m_queue.countGrant(request.rank, request.caller, now);
            return slot_grant{*target};
        }
    }
    const std::uint64_t id = m_nextId++;
    const offer_result offered = m_queue.offer({id, request.rank, request.caller, request.deadline});
    if (!offered.accepted) {
        return slot_refusal{refusal_reason::queueFull};
    }
    if (offered.displaced) {
        refuse(*offered.displaced, refusal_reason::displaced);
    }
    return await(lock, request, id);
}

slot_result service_gate::await(std::unique_lock<std::mutex> &lock, const slot_request &request, std::uint64_t id)
{
    waiting_thread self;
    m_waitingThreads.emplace(id, &self);
    m_pickRequests.emplace(id, request.pick);
    dispatch(std::chrono::steady_clock::now());
    const instant latestStart = request.deadline - m_serviceTime;
    self.wake.wait_until(lock, latestStart, [&] { return self.answer.has_value(); });
    if (!self.answer) {
        m_queue.remove(id);
        self.answer = slot_refusal{refusal_reason::deadline};
    }
    m_waitingThreads.erase(id);
    m_pickRequests.erase(id);
    return *self.answer;
}

void service_gate::refuse(std::uint64_t id, refusal_reason reason)
{
    const auto found = m_waitingThreads.find(id);
    if (found != m_waitingThreads.end()) {
        found->second->answer = slot_refusal{reason};
        found->second->wake.notify_one();
    }
}

void service_gate::dispatch(instant now)
{
    for (const auto &late : m_queue.expire(now, m_serviceTime)) {
        refuse(late.id, refusal_reason::deadline);
    }
    while (!m_queue.isEmpty()) {
        // Reserves the slot first, so that a request leaves the queue only when it can be sent.
        const auto target = m_ledger.pick({false, 0, m_nextId, now});
        if (!target) {
            return;
        }
        const auto next = m_queue.take(now);
        const auto found = m_waitingThreads.find(next->id);
        const std::uint64_t excluded = m_pickRequests[next->id].excluded;
        const bool wasTried = *target < 64 && ((excluded >> *target) & 1U) != 0;
        found->second->answer = wasTried ? slot_result(slot_refusal{refusal_reason::noTarget}) : slot_result(slot_grant{*target});
        if (wasTried) {
            m_ledger.release(*target, false, false, now);
        } else {
            ++m_slotsInUseByRank[static_cast<std::size_t>(next->rank)];
        }
        found->second->wake.notify_one();
    }
}

void service_gate::release(std::size_t target, int rank, bool succeeded, bool shed)
{
    const std::lock_guard lock(m_mutex);
    const instant now = std::chrono::steady_clock::now();
    m_ledger.release(target, succeeded, shed, now);
    --m_slotsInUseByRank[static_cast<std::size_t>(rank)];
    dispatch(now);
}

void service_gate::addUse(std::size_t target, int rank)
{
    const std::lock_guard lock(m_mutex);
    ++m_ledger.at(target).inUse;
    ++m_slotsInUseByRank[static_cast<std::size_t>(rank)];
}

void service_gate::update(const std::function<void(slot_ledger &)> &change)
{
    const std::lock_guard lock(m_mutex);
    change(m_ledger);
    dispatch(std::chrono::steady_clock::now());
}

std::size_t service_gate::indexOf(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    const auto [found, added] = m_indices.emplace(address, m_addresses.size());
    if (added) {
        m_addresses.push_back(address);
        m_ledger.at(found->second);
    }
    return found->second;
}

void service_gate::setShares(std::vector<double> shares)
{
    const std::lock_guard lock(m_mutex);
    m_queue.setShares(std::move(shares));
}

std::vector<double> service_gate::demand() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<double> byRank;
    for (std::size_t rank = 0; rank < m_slotsInUseByRank.size(); ++rank) {
        byRank.push_back(m_slotsInUseByRank[rank] + static_cast<double>(m_queue.sizeOfRank(static_cast<int>(rank))));
    }
    return byRank;
}

void service_gate::depositRetry()
{
    const std::lock_guard lock(m_mutex);
    m_retryBudget.deposit();
}

bool service_gate::withdrawRetry()
{
    const std::lock_guard lock(m_mutex);
    return m_retryBudget.tryWithdraw();
}

} // namespace flamingofield
