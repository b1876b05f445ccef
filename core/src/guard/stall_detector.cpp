// Whether an upstream has stopped to make progress, although it answers.
#include "stall_detector.h"

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

constexpr Duration QuietTime = std::chrono::milliseconds(250); ///< without an end, in a stall: several runs usually end in it
constexpr std::size_t OverdueInStall = 3;                      ///< a few tasks may be declared far too short
constexpr Duration FirstPause = std::chrono::milliseconds(500);
constexpr unsigned MaxPauseDoublings = 3;

} // namespace

void StallDetector::runEnded(MonotonicTime now)
{
    m_endedAt = now;
    m_stalls = 0;
    if (m_phase == Phase::Trial) {
        m_phase = Phase::Normal;
    }
}

void StallDetector::restart(MonotonicTime now)
{
    m_phase = Phase::Normal;
    m_endedAt = now;
    m_stalls = 0;
}

bool StallDetector::update(MonotonicTime now, std::size_t overdue, std::size_t all)
{
    if (m_phase == Phase::Stalled) {
        m_phase = now < m_stalledUntil ? Phase::Stalled : Phase::Trial;
        return false;
    }
    const bool isOverdue = m_phase == Phase::Trial ? overdue > 0 : overdue >= OverdueInStall && overdue * 2 >= all;
    if (!isOverdue || now < m_endedAt + QuietTime) {
        return false;
    }
    m_phase = Phase::Stalled;
    m_stalledUntil = now + FirstPause * (1U << std::min(m_stalls, MaxPauseDoublings));
    ++m_stalls;
    return true;
}

StallDetector::Phase StallDetector::phase() const
{
    return m_phase;
}

MonotonicTime StallDetector::nextUpdate() const
{
    return m_phase == Phase::Stalled ? m_stalledUntil : MonotonicTime::max();
}

} // namespace Sycamoremoor
