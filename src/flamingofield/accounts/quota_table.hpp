#pragma once

#include "accounts/account_directory.hpp"
#include "balance/count_window.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace flamingofield {

/// Interval between a node's messages while the admissions of accounts change. What several nodes admit at the same time within it is the
/// excess of a quota.
constexpr milliseconds usageInterval{100};

/// What the operators promise about quotas: within any window, an account runs at most
/// (rate x window + burst) x (1 + overshoot) + slack requests on all nodes together.
struct quota_rules
{
    seconds window{5};
    double overshoot = 0.25;
    double slack = 20.0; ///< Requests.
};

/// One account's admissions at one node, cumulative, so that a lost message loses no count.
struct account_usage
{
    std::uint64_t account = 0; ///< client_account::id.
    std::uint32_t generation = 0; ///< Rises when the node counts from zero again.
    std::uint32_t admissions = 0; ///< Less those that were given back; wraps around.
};

/// The part of each quota that this node may use, and how many nodes share it.
struct quota_share
{
    double share = 1.0; ///< Of the rate, for this node together with the nodes that it hears.
    std::size_t nodes = 1; ///< Nodes that it hears, this one included.
    double peerShare = 1.0; ///< Of the other serving nodes, the part that it hears; 1 if there are none.
    bool isInExchange = true; ///< It hears the usage of other nodes, or there are none.
};

/// Answer to a request for admission.
struct quota_decision
{
    bool isAdmitted = true;
    duration retryAfter{}; ///< If not admitted: when a request of the account may be admitted.
    double level = 0.0; ///< Tokens of the account after the decision; negative if nodes have admitted too many at the same time.
    double admitted = 0.0; ///< Requests of the account that all nodes have admitted within the window, as far as known.
    double share = 1.0; ///< Part of the quota that was available to this node and those it hears.
};

/// Quotas of the client accounts, kept by all nodes together without a common store.
///
/// Each node keeps a token bucket and a sliding count of the whole account. Its own admissions drain the bucket at once, those of other
/// nodes when they are reported. What several nodes admit at the same time makes the level negative, and nothing is admitted until it is
/// refilled, so the excess is that of one exchange of messages and does not add up. The limit of a window includes half of the
/// tolerance that the rules grant, since refusing a request that may run helps nobody; the other half covers that excess. A node uses the
/// part of the limit that belongs to the nodes that it hears, so the two sides of a cut together stay within it. A bucket that a node
/// has not followed begins nearly empty and is refilled at the bare rate: the admissions before and after a restart together stay within
/// the rules, whatever was forgotten. Does no I/O and reads no clock.
class quota_table
{
public:
    explicit quota_table(instant startedAt)
        : m_shareSetAt(startedAt)
        , m_startedAt(startedAt)
        , m_exchangingSince(startedAt)
    {
    }

    void setRules(const quota_rules &rules);

    /// Replaces the accounts; a lowered limit takes effect at once.
    /// @param accounts null if there are none
    void setAccounts(std::shared_ptr<const account_directory> accounts, instant now);

    /// A share that is older than this does not count: a process that was suspended may continue with a request, and does not know what
    /// the others have admitted meanwhile. Far above the interval of setShare().
    static constexpr milliseconds maxShareAge{1000};

    /// Sets the share; to be called several times a second.
    void setShare(const quota_share &share, instant now);

    /// Decides about one request of an account of the directory.
    quota_decision admit(const client_account &account, instant now);

    /// Returns the token of an admitted request that certainly did not run.
    void giveBack(std::uint64_t account, instant now);

    /// Takes up the usage that another node reports.
    /// @param incarnation of the reporting process; reports of earlier processes are ignored
    void applyPeerUsage(std::uint64_t peer, std::uint64_t incarnation, const std::vector<account_usage> &usages, instant now);

    /// Usage of this node that changed since the last call.
    std::vector<account_usage> takeChangedUsage();

    /// Usage of this node for all accounts that have been used lately.
    std::vector<account_usage> allUsage() const;

    /// Removes accounts without recent usage whose buckets are full, and the reports of nodes that have sent no others for a while.
    void removeIdle(instant now);

    /// True if any account has a quota.
    bool hasLimits() const
    {
        return m_accounts != nullptr && m_accounts->hasLimits();
    }

    std::size_t rows() const
    {
        return m_rows.size();
    }

private:
    /// Tokens of a bucket that this node has not followed: enough for a rare request, too few to matter on all nodes together.
    static constexpr double initialTokens = 1.0;
    /// Part of the tolerance of the rules that is used; the rest covers what nodes admit at the same time.
    static constexpr double usableTolerance = 0.5;
    static constexpr std::size_t buckets = 10;

    /// The last report of another node about an account.
    struct peer_usage
    {
        std::uint64_t peer = 0;
        std::uint64_t incarnation = 0;
        std::uint32_t generation = 0;
        std::uint32_t admissions = 0;
        instant at{};
    };

    struct admission_count
    {
        double own = 0.0;
        double peers = 0.0;
        double peersPerShare = 0.0; ///< Those of peers, each divided by quota_share::peerShare at its time.

        admission_count &operator+=(const admission_count &other)
        {
            own += other.own;
            peers += other.peers;
            peersPerShare += other.peersPerShare;
            return *this;
        }
    };

    struct row
    {
        account_limit limit;
        double level = 0.0;
        instant refilledAt{};
        instant usedAt{}; ///< Last usage at any node.
        instant returnAt{}; ///< Time for which the last refused request was told to return.
        count_window<admission_count, buckets> admitted;
        double peerRate = 0.0; ///< Moving average of the admissions of other nodes, per second.
        instant peerRateAt{};
        std::uint32_t generation = 0;
        std::uint32_t admissions = 0;
        bool isChanged = false; ///< Not yet returned by takeChangedUsage().
        std::vector<peer_usage> peers;
    };

    /// Requests that may run in a window.
    double windowLimitOf(const row &entry) const;
    double capacityOf(const row &entry) const;
    double refillRateOf(const row &entry, instant now) const;
    duration bucketWidth() const;
    /// Admissions within the window that count towards the part of the limit that this node and those it hears have: of what peers
    /// admitted before a cut, that of the nodes that are still heard.
    double countedOf(const row &entry, instant now) const;
    /// Admissions of other nodes that were not yet reported, as far as their recent rate tells.
    static double unreportedOf(const row &entry, instant now);
    static void addToPeerRate(row &entry, double added, instant now);
    row &rowOf(const client_account &account, instant now);
    void refill(row &entry, instant now) const;
    /// Gives up a share that is too old.
    void checkShareAge(instant now);
    void refillAll(instant now);

    quota_rules m_rules;
    std::shared_ptr<const account_directory> m_accounts;
    quota_share m_share;
    instant m_shareSetAt;
    instant m_startedAt;
    instant m_exchangingSince; ///< Since when this node has followed the usage of all nodes that it hears.
    std::uint32_t m_nextGeneration = 1;
    std::unordered_map<std::uint64_t, row> m_rows; ///< By account id.
};

} // namespace flamingofield
