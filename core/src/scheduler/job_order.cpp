// The order in which waiting jobs get capacity, and the expected wait of a new job.
#include "job_order.h"

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

constexpr Duration RateWindow = std::chrono::milliseconds(500); ///< averaging period: longer than most tasks, shorter than bursts

constexpr double MaxWait = 60e6; ///< microseconds; longer than any slack that is worth waiting for

} // namespace

JobOrder::Key JobOrder::keyOf(const ScheduledJob &job)
{
    return {!job.started, job.rank, job.number};
}

void JobOrder::put(const ScheduledJob &job, CoreTime coreTime)
{
    remove(job.number);
    const auto key = keyOf(job);
    m_jobs.emplace(key, coreTime);
    m_keys.emplace(job.number, key);
}

void JobOrder::remove(JobNumber job)
{
    if (const auto found = m_keys.find(job); found != m_keys.end()) {
        m_jobs.erase(found->second);
        m_keys.erase(found);
    }
}

void JobOrder::recordSent(MonotonicTime now, CoreTime coreTime)
{
    m_recentlySent.emplace_back(now, coreTime);
    while (m_recentlySent.front().first + RateWindow < now) {
        m_recentlySent.pop_front();
    }
}

void JobOrder::recordReturned(MonotonicTime now, CoreTime coreTime)
{
    recordSent(now, CoreTime(0) - coreTime);
}

double JobOrder::recentRate(MonotonicTime now) const
{
    double sum = 0;
    for (const auto &[at, coreTime] : m_recentlySent) {
        if (at + RateWindow >= now) {
            sum += static_cast<double>(coreTime.value());
        }
    }
    return std::max(0.0, sum) / static_cast<double>(RateWindow.count());
}

double JobOrder::workBefore(const Key &key) const
{
    double before = 0;
    for (const auto &[other, coreTime] : m_jobs) {
        if (other >= key) {
            break;
        }
        before += static_cast<double>(coreTime.value());
    }
    return before;
}

Duration JobOrder::expectedWait(MonotonicTime now, const Key &key) const
{
    const auto before = workBefore(key);
    const auto rate = recentRate(now);
    if (before <= 0 || rate <= 0) {
        return Duration::zero();
    }
    return Duration(static_cast<std::int64_t>(before / rate));
}

Duration JobOrder::expectedWaitWithin(MonotonicTime now, const Key &key, MilliCores cores) const
{
    const auto before = workBefore(key);
    if (before <= 0 || cores <= MilliCores(0)) {
        return Duration::zero();
    }
    const auto most = static_cast<double>(cores.value());
    const auto recent = recentRate(now);
    const auto rate = recent > 0 ? std::min(recent, most) : most;
    return Duration(static_cast<std::int64_t>(std::min(before / rate, MaxWait)));
}

const std::map<JobOrder::Key, CoreTime> &JobOrder::jobs() const
{
    return m_jobs;
}

} // namespace Sycamoremoor
