#include "http/memory_budget.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace flamingofield {

std::string_view nameOf(memory_kind kind)
{
    switch (kind) {
    case memory_kind::requestBody:
        return "request_body";
    case memory_kind::answer:
        return "answer";
    case memory_kind::head:
        break;
    }
    return "head";
}

memory_budget::memory_budget(std::size_t limit)
    : m_limit(limit)
{
}

std::size_t memory_budget::limitFor(std::size_t memoryBytes, std::size_t otherBytes)
{
    const std::size_t usable = memoryBytes - memoryBytes / 10;
    const std::size_t left = usable - std::min(usable, otherBytes);
    return std::clamp(left, memoryBytes / 8, memoryBytes / 2);
}

std::size_t memory_budget::takePeak()
{
    return std::exchange(m_peak, m_reserved);
}

bool memory_budget::fits(const memory_reservation &asking, std::size_t bytes, std::size_t evictedBytes) const
{
    const std::size_t others = m_reserved - asking.bytes() - evictedBytes;
    if (bytes > m_limit || others > m_limit - bytes) {
        return false;
    }
    if (bytes <= smallBytes) {
        return true;
    }
    const std::size_t otherLarge = m_reservedByLarge - (asking.isSmall() ? 0 : asking.bytes());
    return otherLarge - std::min(otherLarge, evictedBytes) + bytes <= m_limit - m_limit / smallPartDivisor;
}

std::size_t memory_budget::evictableBytes(const memory_reservation &asking, bool onlyLarge) const
{
    std::size_t bytes = 0;
    for (const memory_reservation *each : m_evictable) {
        bytes += each == &asking || (onlyLarge && each->isSmall()) ? 0 : each->bytes();
    }
    return bytes;
}

memory_reservation *memory_budget::nextVictim(const memory_reservation &asking, std::size_t bytes, bool onlyLarge, instant now) const
{
    // Smaller ranks are evicted first.
    const auto rank = [&](const memory_reservation &each) {
        const bool isStalled = &each != &asking && each.m_use == memory_use::unfinished && now - each.m_grownAt >= stallTime;
        const int order = isStalled ? 0 : each.m_use == memory_use::unfinished ? 1 : 2;
        return std::make_tuple(order, isStalled ? each.m_grownAt : instant{}, ~each.m_serial);
    };
    memory_reservation *victim = nullptr;
    for (memory_reservation *each : m_evictable) {
        const std::size_t size = each == &asking ? bytes : each->bytes();
        const bool isCandidate = size > (onlyLarge ? smallBytes : 0);
        if (isCandidate && (victim == nullptr || rank(*each) < rank(*victim))) {
            victim = each;
        }
    }
    return victim;
}

bool memory_budget::makeRoom(const memory_reservation &asking, std::size_t bytes, instant now)
{
    if (fits(asking, bytes)) {
        return true;
    }
    // Small requests give way only to small ones and to answers: all of them together free little for a large body.
    const bool onlyLarge = bytes > smallBytes && asking.m_use != memory_use::kept;
    if (!fits(asking, bytes, evictableBytes(asking, onlyLarge))) {
        return false;
    }
    while (!fits(asking, bytes)) {
        memory_reservation *victim = nextVictim(asking, bytes, true, now);
        if (victim == nullptr && !onlyLarge) {
            victim = nextVictim(asking, bytes, false, now);
        }
        if (victim == nullptr || victim == &asking) {
            return false;
        }
        ++m_evictions;
        const auto onEvict = std::move(victim->m_onEvict);
        set(*victim, 0);
        victim->keep();
        onEvict();
    }
    return true;
}

void memory_budget::set(memory_reservation &of, std::size_t bytes)
{
    m_reserved = m_reserved - of.m_bytes + bytes;
    std::size_t &ofKind = m_reservedByKind[static_cast<std::size_t>(of.m_kind)];
    ofKind = ofKind - of.m_bytes + bytes;
    m_reservedByLarge -= of.isSmall() ? 0 : of.m_bytes;
    of.m_bytes = bytes;
    m_peak = std::max(m_peak, m_reserved);
    m_reservedByLarge += of.isSmall() ? 0 : bytes;
}

memory_reservation::memory_reservation(std::shared_ptr<memory_budget> budget, memory_kind kind, instant now)
    : m_budget(std::move(budget))
    , m_kind(kind)
    , m_grownAt(now)
{
    if (m_budget != nullptr) {
        m_serial = m_budget->m_nextSerial++;
    }
}

memory_reservation::~memory_reservation()
{
    keep();
    shrinkTo(0);
}

bool memory_reservation::growTo(std::size_t bytes, instant now)
{
    if (m_budget == nullptr || bytes <= m_bytes) {
        return true;
    }
    constexpr std::size_t step = memory_budget::growthStep;
    const std::size_t wanted = bytes <= step ? bytes : (bytes + step - 1) / step * step;
    const bool isGranted = m_use == memory_use::kept && wanted <= memory_budget::smallBytes;
    if (!m_budget->makeRoom(*this, wanted, now) && !isGranted) {
        return false;
    }
    m_budget->set(*this, wanted);
    m_grownAt = now;
    return true;
}

void memory_reservation::shrinkTo(std::size_t bytes)
{
    if (m_budget != nullptr && bytes < m_bytes) {
        m_budget->set(*this, bytes);
    }
}

void memory_reservation::allowEviction(memory_use use, instant now, std::function<void()> onEvict)
{
    if (m_budget != nullptr) {
        m_use = use;
        m_grownAt = now;
        m_onEvict = std::move(onEvict);
        m_budget->m_evictable.insert(this);
    }
}

void memory_reservation::keep()
{
    if (m_budget != nullptr && m_use != memory_use::kept) {
        m_use = memory_use::kept;
        m_onEvict = nullptr;
        m_budget->m_evictable.erase(this);
    }
}

} // namespace flamingofield
