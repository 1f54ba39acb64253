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

admission_controller::admission_controller(rank_queue_limits limits, double retryRatio)
    : m_limits(std::move(limits))
    , m_queue(m_limits)
    , m_retryBudget(retryRatio)
    , m_slotsInUseByRank(m_limits.guaranteedShares.size(), 0)
{
}

slot_result admission_controller::acquire(const slot_request &request)
{
    std::unique_lock lock(m_mutex);
    const instant now = std::chrono::steady_clock::now();
    if (now + m_serviceTime >= request.deadline) {
        return slot_refusal{refusal_reason::deadline};
    }
    if (!m_slotTable.hasEligible() && !request.criteria.canBeTrial) {
        return slot_refusal{refusal_reason::noTarget};
    }
    if (m_queue.isEmpty()) {
        target_criteria criteria = request.criteria;
        criteria.now = now;
        if (const auto target = m_slotTable.pick(criteria)) {
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

slot_result admission_controller::await(std::unique_lock<std::mutex> &lock, const slot_request &request, std::uint64_t id)
{
    waiting_thread self;
    m_waitingThreads.emplace(id, &self);
    m_criteria.emplace(id, request.criteria);
    dispatch(std::chrono::steady_clock::now());
    const instant latestStart = request.deadline - m_serviceTime;
    self.wake.wait_until(lock, latestStart, [&] { return self.answer.has_value(); });
    if (!self.answer) {
        m_queue.remove(id);
        self.answer = slot_refusal{refusal_reason::deadline};
    }
    m_waitingThreads.erase(id);
    m_criteria.erase(id);
    return *self.answer;
}

void admission_controller::refuse(std::uint64_t id, refusal_reason reason)
{
    const auto found = m_waitingThreads.find(id);
    if (found != m_waitingThreads.end()) {
        found->second->answer = slot_refusal{reason};
        found->second->wake.notify_one();
    }
}

void admission_controller::dispatch(instant now)
{
    for (const auto &late : m_queue.expire(now, m_serviceTime)) {
        refuse(late.id, refusal_reason::deadline);
    }
    while (!m_queue.isEmpty()) {
        // Reserves the slot first, so that a request leaves the queue only when it can be sent.
        const auto target = m_slotTable.pick({false, 0, m_nextId, now});
        if (!target) {
            return;
        }
        const auto next = m_queue.take(now);
        const auto found = m_waitingThreads.find(next->id);
        const std::uint64_t excluded = m_criteria[next->id].excluded;
        const bool wasTried = *target < 64 && ((excluded >> *target) & 1U) != 0;
        found->second->answer = wasTried ? slot_result(slot_refusal{refusal_reason::noTarget}) : slot_result(slot_grant{*target});
        if (wasTried) {
            m_slotTable.release(*target, false, false, now);
        } else {
            ++m_slotsInUseByRank[static_cast<std::size_t>(next->rank)];
        }
        found->second->wake.notify_one();
    }
}

void admission_controller::release(std::size_t target, int rank, bool succeeded, bool shed)
{
    const std::lock_guard lock(m_mutex);
    const instant now = std::chrono::steady_clock::now();
    m_slotTable.release(target, succeeded, shed, now);
    --m_slotsInUseByRank[static_cast<std::size_t>(rank)];
    dispatch(now);
}

void admission_controller::addSlotInUse(std::size_t target, int rank)
{
    const std::lock_guard lock(m_mutex);
    ++m_slotTable.at(target).inUse;
    ++m_slotsInUseByRank[static_cast<std::size_t>(rank)];
}

void admission_controller::update(const std::function<void(slot_table &)> &change)
{
    const std::lock_guard lock(m_mutex);
    change(m_slotTable);
    dispatch(std::chrono::steady_clock::now());
}

std::size_t admission_controller::indexOf(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    const auto [found, added] = m_indices.emplace(address, m_addresses.size());
    if (added) {
        m_addresses.push_back(address);
        m_slotTable.at(found->second);
    }
    return found->second;
}

void admission_controller::setShares(std::vector<double> shares)
{
    const std::lock_guard lock(m_mutex);
    m_queue.setShares(std::move(shares));
}

std::vector<double> admission_controller::demand() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<double> byRank;
    for (std::size_t rank = 0; rank < m_slotsInUseByRank.size(); ++rank) {
        byRank.push_back(m_slotsInUseByRank[rank] + static_cast<double>(m_queue.sizeOfRank(static_cast<int>(rank))));
    }
    return byRank;
}

void admission_controller::depositRetry()
{
    const std::lock_guard lock(m_mutex);
    m_retryBudget.deposit();
}

bool admission_controller::withdrawRetry()
{
    const std::lock_guard lock(m_mutex);
    return m_retryBudget.tryWithdraw();
}

} // namespace flamingofield
