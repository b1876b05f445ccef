// The order in which waiting jobs get capacity, and the expected wait of a new job.
#include "job_order.h"

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

constexpr Duration RateWindow = std::chrono::milliseconds(500); ///< averaging period: longer than most tasks, shorter than bursts

/** Of the rate: the last part of a job's slack is its own, as few arrivals have an earlier turn then. With 0.9 jobs of the longest slack were
 * refused that found room in time (issue: docs/design/shedding.md). */
constexpr double MaxOvertakingShare = 0.5;
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

void JobOrder::recordSent(MonotonicTime now, const ScheduledJob &job, CoreTime coreTime)
{
    m_recentlySent.push_back({now, coreTime, job.rank.isOrdinary, job.rank.turn - job.arrivedAt});
    while (m_recentlySent.front().at + RateWindow < now) {
        m_recentlySent.pop_front();
    }
}

void JobOrder::recordReturned(MonotonicTime now, const ScheduledJob &job, CoreTime coreTime)
{
    recordSent(now, job, CoreTime(0) - coreTime);
}

double JobOrder::recentRate(MonotonicTime now) const
{
    double sum = 0;
    for (const auto &sent : m_recentlySent) {
        if (sent.at + RateWindow >= now) {
            sum += static_cast<double>(sent.coreTime.value());
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

Duration JobOrder::expectedWaitWithArrivals(MonotonicTime now, const Key &key, MilliCores cores) const
{
    const auto before = workBefore(key);
    if (before <= 0 || cores <= MilliCores(0)) {
        return Duration::zero();
    }
    // Until its turn an arrival goes before the job if its own turn is less ahead; on average, half of the time is left then.
    const auto ahead = (key.rank.turn - now) / 2;
    double overtaking = 0;
    for (const auto &sent : m_recentlySent) {
        const bool overtakes = sent.isOrdinary != key.rank.isOrdinary ? key.rank.isOrdinary : sent.ahead < ahead;
        if (key.isNew && overtakes && sent.at + RateWindow >= now) {
            overtaking += static_cast<double>(sent.coreTime.value());
        }
    }
    const auto all = recentRate(now);
    const auto rate = (all > 0 ? std::min(all, static_cast<double>(cores.value())) : static_cast<double>(cores.value()))
        - std::min(std::max(0.0, overtaking) / static_cast<double>(RateWindow.count()), all * MaxOvertakingShare);
    return Duration(static_cast<std::int64_t>(std::min(before / std::max(rate, 1.0), MaxWait)));
}

const std::map<JobOrder::Key, CoreTime> &JobOrder::jobs() const
{
    return m_jobs;
}

} // namespace Sycamoremoor
