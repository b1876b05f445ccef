// How much of the time an upstream has runs of a queue, and how much of it they have just started.
#include "queue_activity.h"

#include <algorithm>
#include <cmath>

namespace Sycamoremoor
{

namespace
{

constexpr double AveragingSeconds = 5; ///< loads change within some seconds
constexpr double PriorSeconds = 0.1;   ///< weight of each presence before anything is known

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

QueueActivity::QueueActivity(MonotonicTime now)
    : m_updatedAt(now)
    , m_startedAt(now - FreshAge)
    , m_times{PriorSeconds, PriorSeconds, PriorSeconds}
{
}

QueueActivity::Times QueueActivity::timesAt(MonotonicTime now) const
{
    const auto elapsed = std::max(now - m_updatedAt, Duration::zero());
    const auto fresh = m_open == 0 ? Duration::zero() : std::clamp(m_startedAt + FreshAge - m_updatedAt, Duration::zero(), elapsed);
    const auto weight = std::exp(-secondsOf(elapsed) / AveragingSeconds);
    Times times{m_times.none * weight, m_times.settled * weight, m_times.fresh * weight};
    times.fresh += secondsOf(fresh);
    (m_open == 0 ? times.none : times.settled) += secondsOf(elapsed - fresh);
    return times;
}

void QueueActivity::advance(MonotonicTime now)
{
    m_times = timesAt(now);
    m_updatedAt = std::max(m_updatedAt, now);
}

void QueueActivity::runStarted(MonotonicTime now)
{
    advance(now);
    ++m_open;
    m_startedAt = now;
}

void QueueActivity::runEnded(MonotonicTime now)
{
    advance(now);
    m_open -= std::min(m_open, 1U);
}

void QueueActivity::restart(MonotonicTime now)
{
    m_open = 0;
    m_updatedAt = now;
}

RunPresence QueueActivity::presence(MonotonicTime now) const
{
    if (m_open == 0) {
        return RunPresence::None;
    }
    return now < m_startedAt + FreshAge ? RunPresence::Fresh : RunPresence::Settled;
}

double QueueActivity::share(MonotonicTime now, RunPresence presence) const
{
    const auto times = timesAt(now);
    const auto all = times.none + times.settled + times.fresh + 3 * PriorSeconds;
    switch (presence) {
    case RunPresence::None:
        return (times.none + PriorSeconds) / all;
    case RunPresence::Settled:
        return (times.settled + PriorSeconds) / all;
    default:
        return (times.fresh + PriorSeconds) / all;
    }
}

bool QueueActivity::isRecent(MonotonicTime now) const
{
    return m_open > 0 || secondsOf(now - m_updatedAt) < AveragingSeconds;
}

} // namespace Sycamoremoor
