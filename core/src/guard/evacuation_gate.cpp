// Whether a guard may start runs while its zone may be evacuated, and on how much of its capacity afterwards.
#include "evacuation_gate.h"

#include <algorithm>
#include <utility>

namespace Sycamoremoor
{

namespace
{

/** How long a guard waits for its first read: a call of the store ends after 0.8 s, and an upstream announces itself every 1.5 s. */
constexpr Duration FirstReadWait = std::chrono::milliseconds(1000);

} // namespace

EvacuationGate::EvacuationGate(ZoneName zone, Duration within)
    : m_zone(std::move(zone))
    , m_within(within)
    , m_isWaiting(within > Duration::zero())
{
}

std::vector<LogLine> EvacuationGate::update(MonotonicTime now, const EvacuationsRead &read)
{
    const bool wasEvacuated = isEvacuated();
    auto lines = m_zones.update(read);
    if (isEvacuated()) {
        m_reopenedAt.reset();
    } else if (wasEvacuated) {
        m_reopenedAt = now;
    }
    advance(now);
    return lines;
}

void EvacuationGate::announced(MonotonicTime now, Duration coldFor)
{
    m_coldUntil = now + coldFor;
    if (coldFor == Duration::zero()) {
        m_reopenedAt.reset();
    }
    advance(now);
}

void EvacuationGate::advance(MonotonicTime now)
{
    if (!m_waitUntil) {
        m_waitUntil = now + std::min(FirstReadWait, m_within);
    }
    m_isWaiting = m_isWaiting && !m_zones.isKnown() && now < *m_waitUntil;
    m_steps = AllSteps;
    while (isEasingIn() && m_steps > LeastSteps && timeOf(m_steps) > now) {
        --m_steps;
    }
}

bool EvacuationGate::isEvacuated() const
{
    return m_zones.contains(m_zone);
}

bool EvacuationGate::isOpen() const
{
    return !m_isWaiting && !isEvacuated();
}

std::int64_t EvacuationGate::steps() const
{
    return m_steps;
}

MonotonicTime EvacuationGate::nextUpdate() const
{
    if (m_isWaiting && m_waitUntil) {
        return *m_waitUntil;
    }
    return m_steps < AllSteps ? timeOf(m_steps + 1) : MonotonicTime::max();
}

bool EvacuationGate::isEasingIn() const
{
    return m_reopenedAt && m_coldUntil > *m_reopenedAt;
}

MonotonicTime EvacuationGate::timeOf(std::int64_t steps) const
{
    constexpr auto Rise = AllSteps - LeastSteps;
    return *m_reopenedAt + (m_coldUntil - *m_reopenedAt) * (steps - LeastSteps) / Rise;
}

} // namespace Sycamoremoor
