#include "flood_model.hpp"

#include "admission/rank_queue.hpp"
#include "admission/slot_quota.hpp"
#include "admission/slot_table.hpp"

#include <algorithm>
#include <numeric>
#include <queue>
#include <random>

namespace bench {

using flamingofield::duration;
using flamingofield::instant;
using flamingofield::milliseconds;
using flamingofield::queued_request;
using flamingofield::rank_queue;
using flamingofield::slot_table;

namespace {

constexpr double exchangePeriodSeconds = 0.5;
constexpr double samplePeriodSeconds = 0.05;
constexpr double demandSmoothing = 0.2;
constexpr std::size_t maxQueuedPerRank = 48;
constexpr double warmUpSeconds = 2.0; // Not counted.

duration toDuration(double s)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(s));
}

enum class event_kind { arrival, completion, sample, exchange };

struct event
{
    instant at;
    event_kind kind = event_kind::arrival;
    std::size_t member = 0;
    std::size_t target = 0;
    int rank = 0;
    instant deadline;
    bool isCounted = false;
    bool wasShed = false;

    bool operator>(const event &other) const
    {
        return at > other.at;
    }
};

struct member_state
{
    rank_queue queue;
    slot_table slotTable;
    std::vector<event> waiting; ///< Requests by their id in the queue, which is the index.
    std::vector<double> slotsInUse; ///< Slots in use by rank.
    std::vector<double> demand; ///< Smoothed, by rank.
};

class flood_model
{
public:
    explicit flood_model(const flood_model_plan &plan)
        : m_plan(plan)
        , m_random(plan.seed)
        , m_start(instant() + flamingofield::seconds(1000))
        , m_end(m_start + toDuration(plan.seconds + warmUpSeconds))
        , m_inUse(static_cast<std::size_t>(plan.targets), 0)
    {
        for (int t = 0; t < plan.targets; ++t) {
            flamingofield::target_spec spec;
            spec.slots = plan.slots;
            m_service.targets.push_back(spec);
        }
        flamingofield::rank_queue_limits limits;
        limits.guaranteedShares
            = plan.policy == admit_policy::ranked ? plan.guaranteedShares : std::vector<double>(plan.deadlinesMs.size(), 0.0);
        limits.maxQueuedPerRank = maxQueuedPerRank;
        for (int m = 0; m < plan.members; ++m) {
            m_members.push_back(
                {rank_queue(limits), {}, {}, std::vector<double>(plan.deadlinesMs.size()), std::vector<double>(plan.deadlinesMs.size())});
        }
        m_result.ranks.resize(plan.deadlinesMs.size());
        sampleDemand(m_start);
        exchangeDemand(m_start);
    }

    flood_model_result run()
    {
        for (std::size_t rank = 0; rank < m_plan.loadShares.size(); ++rank) {
            scheduleArrival(static_cast<int>(rank), m_start);
        }
        while (!m_events.empty() && m_events.top().at < m_end) {
            const event next = m_events.top();
            m_events.pop();
            switch (next.kind) {
            case event_kind::arrival:
                scheduleArrival(next.rank, next.at);
                queueRequest(next, next.at);
                break;
            case event_kind::completion:
                finishRequest(next);
                break;
            case event_kind::sample:
                sampleDemand(next.at);
                break;
            case event_kind::exchange:
                exchangeDemand(next.at);
                break;
            }
        }
        return m_result;
    }

private:
    double uniform()
    {
        return std::uniform_real_distribution<>(0.0, 1.0)(m_random);
    }

    void scheduleArrival(int rank, instant now)
    {
        const double capacity = m_plan.targets * m_plan.slots * 1000.0 / m_plan.serviceMs;
        const double rate = capacity * m_plan.loadShares[static_cast<std::size_t>(rank)];
        if (rate <= 0.0) {
            return;
        }
        event arrival;
        arrival.at = now + toDuration(std::exponential_distribution<>(rate)(m_random));
        arrival.kind = event_kind::arrival;
        arrival.rank = rank;
        const bool usesFirstTwoMembers = m_plan.isUneven && uniform() < 0.8;
        arrival.member = m_random() % static_cast<std::size_t>(usesFirstTwoMembers ? 2 : m_plan.members);
        arrival.deadline = arrival.at + toDuration(m_plan.deadlinesMs[static_cast<std::size_t>(rank)] / 1000.0);
        // Requests whose deadline lies after the flood are not counted, since its end would help them.
        arrival.isCounted = arrival.at > m_start + toDuration(warmUpSeconds) && arrival.deadline < m_end;
        m_events.push(arrival);
    }

    /// Rank in the queue; the baseline without ranks puts all requests into one.
    int queueRank(int rank) const
    {
        return m_plan.policy == admit_policy::firstComeFirstServed ? 0 : rank;
    }

    void queueRequest(event e, instant now)
    {
        rank_outcome &outcome = m_result.ranks[static_cast<std::size_t>(e.rank)];
        outcome.offered += e.isCounted ? 1 : 0;
        member_state &member = m_members[e.member];
        const std::uint64_t id = member.waiting.size();
        const std::uint64_t caller = m_random() % 200;
        member.waiting.push_back(e);
        queued_request w{id, queueRank(e.rank), caller, e.deadline};
        if (m_plan.policy == admit_policy::firstComeFirstServed) {
            w.caller = 0;
            w.deadline = now + flamingofield::seconds(1000) + toDuration(static_cast<double>(id) * 1e-6);
        }
        const auto offered = member.queue.offer(w);
        if (!offered.accepted) {
            countRefusal(e);
            return;
        }
        if (offered.displaced) {
            countRefusal(member.waiting[*offered.displaced]);
        }
        dispatch(e.member, now);
    }

    void countRefusal(const event &e)
    {
        m_result.ranks[static_cast<std::size_t>(e.rank)].refused += e.isCounted ? 1 : 0;
    }

    void dispatch(std::size_t index, instant now)
    {
        member_state &member = m_members[index];
        if (m_plan.policy != admit_policy::firstComeFirstServed) {
            for (const auto &late : member.queue.expire(now, toDuration(m_plan.serviceMs / 1000.0))) {
                countRefusal(member.waiting[late.id]);
            }
        }
        while (!member.queue.isEmpty()) {
            const auto target = member.slotTable.pick({false, 0, m_random(), now});
            if (!target) {
                return;
            }
            const auto next = member.queue.take(now);
            startRequest(index, *target, member.waiting[next->id], now);
        }
    }

    void startRequest(std::size_t member, std::size_t target, event request, instant now)
    {
        ++m_result.attempts;
        m_members[member].slotsInUse[static_cast<std::size_t>(request.rank)] += 1.0;
        request.kind = event_kind::completion;
        request.member = member;
        request.target = target;
        // A target with all slots in use sheds at once.
        request.wasShed = m_inUse[target] >= m_plan.slots;
        m_result.overcommits += request.wasShed ? 1 : 0;
        m_inUse[target] += request.wasShed ? 0 : 1;
        const double serviceMs = request.wasShed ? 0.5 : m_plan.serviceMs * (0.7 + 0.6 * uniform());
        request.at = now + toDuration(serviceMs / 1000.0);
        m_events.push(request);
    }

    void finishRequest(const event &e)
    {
        member_state &member = m_members[e.member];
        member.slotTable.release(e.target, !e.wasShed, e.wasShed, e.at);
        member.slotsInUse[static_cast<std::size_t>(e.rank)] -= 1.0;
        rank_outcome &outcome = m_result.ranks[static_cast<std::size_t>(e.rank)];
        if (e.wasShed) {
            // A shed request was not executed, so it may be sent to another target until its deadline.
            event retry = e;
            retry.kind = event_kind::arrival;
            if (m_plan.hasRetries && e.at < e.deadline) {
                const std::uint64_t id = member.waiting.size();
                member.waiting.push_back(retry);
                const auto offered = member.queue.offer({id, queueRank(e.rank), m_random() % 200, e.deadline});
                if (!offered.accepted) {
                    countRefusal(e);
                }
            } else {
                countRefusal(e);
            }
        } else {
            --m_inUse[e.target];
            outcome.inTime += e.isCounted && e.at <= e.deadline ? 1 : 0;
        }
        dispatch(e.member, e.at);
    }

    void schedule(event_kind kind, instant at)
    {
        event next;
        next.at = at;
        next.kind = kind;
        m_events.push(next);
    }

    void sampleDemand(instant now)
    {
        for (auto &member : m_members) {
            for (std::size_t rank = 0; rank < member.demand.size(); ++rank) {
                const double waiting = static_cast<double>(member.queue.sizeOfRank(static_cast<int>(rank)));
                member.demand[rank] += demandSmoothing * (member.slotsInUse[rank] + waiting - member.demand[rank]);
            }
        }
        schedule(event_kind::sample, now + toDuration(samplePeriodSeconds));
    }

    void exchangeDemand(instant now)
    {
        std::vector<flamingofield::member_demand> demands;
        double sum = 0.0;
        for (std::size_t m = 0; m < m_members.size(); ++m) {
            demands.push_back({std::to_string(m), m_members[m].demand});
            sum += std::accumulate(m_members[m].demand.begin(), m_members[m].demand.end(), 0.0);
        }
        const auto owned = splitSlots(m_service, demands, m_plan.guaranteedShares);
        const double ratio = sum / declaredSlots(m_service);
        for (std::size_t m = 0; m < m_members.size(); ++m) {
            for (std::size_t t = 0; t < m_service.targets.size(); ++t) {
                m_members[m].slotTable.at(t).limit.setBounds(owned[t][m], flamingofield::slotCeiling(owned[t][m], m_plan.slots, ratio));
            }
            if (m_plan.policy == admit_policy::ranked) {
                m_members[m].queue.setShares(memberRankShares(declaredSlots(m_service), demands, m, m_plan.guaranteedShares));
            }
            dispatch(m, now);
        }
        schedule(event_kind::exchange, now + toDuration(exchangePeriodSeconds));
    }

    const flood_model_plan &m_plan;
    std::mt19937_64 m_random;
    instant m_start;
    instant m_end;
    flamingofield::service_spec m_service;
    std::vector<int> m_inUse;
    std::vector<member_state> m_members;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    flood_model_result m_result;
};

} // namespace

const char *toString(admit_policy policy)
{
    switch (policy) {
    case admit_policy::ranked:
        return "ranked";
    case admit_policy::firstComeFirstServed:
        return "first come";
    case admit_policy::strictPriority:
        break;
    }
    return "strict";
}

flood_model_result runFloodModel(const flood_model_plan &plan)
{
    return flood_model(plan).run();
}

} // namespace bench
