#pragma once

#include "core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_set>

namespace flamingofield {

/// What reserved memory holds.
enum class memory_kind : std::uint8_t {
    requestBody, ///< Body of a request, from its first byte until no attempt needs it.
    answer, ///< Answer that is being received or waits until the client has taken it.
    head, ///< Heads of requests, and bytes that a client has sent ahead.
};

constexpr std::array<memory_kind, 3> allMemoryKinds{memory_kind::requestBody, memory_kind::answer, memory_kind::head};

/// Name of a kind in metrics.
std::string_view nameOf(memory_kind kind);

/// What a reservation is for, which decides whether it may be evicted.
enum class memory_use : std::uint8_t {
    unfinished, ///< Part of a request that has not arrived completely.
    waiting, ///< A complete request that was not passed on.
    kept, ///< An answer, or a request that was passed on; never evicted.
};

class memory_reservation;

/// Bound on the memory that a node holds for others. It has no clock: callers pass the time.
///
/// When a reservation does not fit, others are evicted: first unfinished requests that have not grown for stallTime, the longest stalled
/// one first, then unfinished ones that grow, then those that wait, in each case the youngest one first. The oldest request is thus
/// always completed, and a crowd cannot keep evicting its own members. A reservation that would itself be next in this order is refused.
class memory_budget
{
public:
    /// Reservations up to this size are small.
    static constexpr std::size_t smallBytes = 64U << 10U;
    /// Reservations grow in steps of this size, so that a body that trickles counts as stalled.
    static constexpr std::size_t growthStep = 4U << 10U;
    /// An unfinished request that has not grown for this long is evicted before all others.
    static constexpr milliseconds stallTime{1000};
    /// The part of a budget that only small reservations may take is the whole divided by this.
    static constexpr std::size_t smallPartDivisor = 8;

    /// @param limit bytes of all reservations
    explicit memory_budget(std::size_t limit);
    memory_budget(const memory_budget &) = delete;
    memory_budget &operator=(const memory_budget &) = delete;

    /// Budget of a process: half of its memory, or less if its tables and connections leave less of nine tenths of the memory, which a
    /// configuration with many accounts does on a small VM. At least an eighth.
    /// @param otherBytes resident memory that is not reserved in the budget
    static std::size_t limitFor(std::size_t memoryBytes, std::size_t otherBytes = 0);

    /// Sets the limit; it applies to later reservations.
    void setLimit(std::size_t limit)
    {
        m_limit = limit;
    }

    std::size_t limit() const
    {
        return m_limit;
    }

    std::size_t reserved() const
    {
        return m_reserved;
    }

    std::size_t reserved(memory_kind kind) const
    {
        return m_reservedByKind[static_cast<std::size_t>(kind)];
    }

    /// Most bytes reserved at a time since the last call, or since the start.
    std::size_t takePeak();

    /// Number of reservations evicted so far.
    std::uint64_t evictions() const
    {
        return m_evictions;
    }

private:
    friend class memory_reservation;

    /// @param evictedBytes bytes of others that count as free
    bool fits(const memory_reservation &asking, std::size_t bytes, std::size_t evictedBytes = 0) const;
    /// @return bytes that can be evicted for a reservation
    std::size_t evictableBytes(const memory_reservation &asking, bool onlyLarge) const;
    /// Makes room for a reservation to take a number of bytes in all. Evicts nothing if all evictions together were not enough.
    /// @return false if it does not fit
    bool makeRoom(const memory_reservation &asking, std::size_t bytes, instant now);
    /// @param bytes that the asking reservation wants in all
    /// @return the reservation to be evicted next, which may be the asking one, or null if there is none
    memory_reservation *nextVictim(const memory_reservation &asking, std::size_t bytes, bool onlyLarge, instant now) const;
    void set(memory_reservation &of, std::size_t bytes);

    std::size_t m_limit;
    std::size_t m_reserved = 0;
    std::size_t m_peak = 0;
    std::size_t m_reservedByLarge = 0; ///< Of reservations above smallBytes.
    std::array<std::size_t, allMemoryKinds.size()> m_reservedByKind{};
    std::uint64_t m_evictions = 0;
    std::uint64_t m_nextSerial = 1;
    std::unordered_set<memory_reservation *> m_evictable;
};

/// Memory of one holder, counted in a budget until its destruction. It is reserved before it is taken.
class memory_reservation
{
public:
    /// @param budget null for no bound
    memory_reservation(std::shared_ptr<memory_budget> budget, memory_kind kind, instant now);
    ~memory_reservation();
    memory_reservation(const memory_reservation &) = delete;
    memory_reservation &operator=(const memory_reservation &) = delete;

    /// Reserves at least a number of bytes in all, above the first step in whole steps.
    /// A kept reservation that is small is granted in any case: an answer of usual size is delivered whatever others hold.
    /// @return false if they do not fit; the reservation is then as before
    bool growTo(std::size_t bytes, instant now);

    /// Reserves exactly a number of bytes that is not above the present one.
    void shrinkTo(std::size_t bytes);

    /// Allows the budget to evict the reservation; it counts as having grown now.
    /// @param use unfinished or waiting
    /// @param onEvict called at most once; it refuses the request and releases its memory. The reservation may be destroyed by then.
    void allowEviction(memory_use use, instant now, std::function<void()> onEvict);

    /// From now on, the reservation is not evicted.
    void keep();

    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    friend class memory_budget;

    bool isSmall() const
    {
        return m_bytes <= memory_budget::smallBytes;
    }

    std::shared_ptr<memory_budget> m_budget;
    memory_kind m_kind;
    memory_use m_use = memory_use::kept;
    std::size_t m_bytes = 0;
    std::uint64_t m_serial = 0; ///< In the order of creation.
    instant m_grownAt;
    std::function<void()> m_onEvict;
};

} // namespace flamingofield
