// Jobs that callers have cancelled.
#pragma once

#include <sycamoremoor/core/queue_job_type.h>
#include <sycamoremoor/core/time_type.h>

#include <deque>
#include <map>
#include <utility>

namespace Sycamoremoor
{

/** Remembers for a while which jobs were cancelled, as a submission that was on its way may arrive afterwards. */
class CancelledJobs
{
public:
    void add(MonotonicTime now, const QueueJobId &job);

    [[nodiscard]] bool contains(const QueueJobId &job) const;

    /** Forgets what was cancelled long ago. */
    void forgetOld(MonotonicTime now);

private:
    void forgetFirst();

    std::map<QueueJobId, MonotonicTime> m_cancelledAt; ///< last time, by job
    std::deque<std::pair<MonotonicTime, QueueJobId>> m_byTime;
};

} // namespace Sycamoremoor
