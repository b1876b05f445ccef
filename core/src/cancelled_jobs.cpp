// Jobs that callers have cancelled.
#include "cancelled_jobs.h"

namespace Sycamoremoor
{

namespace
{

constexpr Duration Retention = std::chrono::minutes(2);       ///< callers submit again after seconds
constexpr std::size_t MaxJobs = 50'000;                       ///< some megabytes
constexpr Duration RefreshInterval = std::chrono::seconds(1); ///< many guards tell of one cancellation, within some milliseconds

} // namespace

void CancelledJobs::add(MonotonicTime now, const QueueJobId &job)
{
    const auto [known, isNew] = m_cancelledAt.try_emplace(job, now);
    if (!isNew && now < known->second + RefreshInterval) {
        return;
    }
    known->second = now;
    m_byTime.emplace_back(now, job);
    if (m_byTime.size() > MaxJobs) {
        forgetFirst();
    }
}

bool CancelledJobs::contains(const QueueJobId &job) const
{
    return m_cancelledAt.contains(job);
}

void CancelledJobs::forgetOld(MonotonicTime now)
{
    while (!m_byTime.empty() && m_byTime.front().first + Retention <= now) {
        forgetFirst();
    }
}

void CancelledJobs::forgetFirst()
{
    const auto &[time, job] = m_byTime.front();
    if (const auto found = m_cancelledAt.find(job); found != m_cancelledAt.end() && found->second == time) {
        m_cancelledAt.erase(found); // else it was cancelled again later
    }
    m_byTime.pop_front();
}

} // namespace Sycamoremoor
