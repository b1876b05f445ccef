// The order in which waiting jobs get capacity, and the expected wait of a new job.
#pragma once

#include "scheduled_job.h"

#include <compare>
#include <deque>
#include <map>
#include <utility>

namespace Sycamoremoor
{

/**
 * Waiting jobs in the order in which they are placed. Started jobs come first, since a job has no value until all of its
 * tasks ended; the others are in the order of the SheddingPolicy.
 *
 * The order is designed for bursts of up to twice the capacity that last some seconds, of jobs with 0.1 s to 1 s of slack.
 * Jobs that can still meet their objective are placed; the others are refused on arrival.
 */
class JobOrder
{
public:
    /** Position of a job in the order; the least key is placed first. */
    struct Key {
        bool isNew = true; ///< no task of it was sent yet
        JobRank rank;
        JobNumber job;

        friend auto operator<=>(const Key &, const Key &) = default;
    };

    [[nodiscard]] static Key keyOf(const ScheduledJob &job);

    /** Adds a job with the processor time of its waiting tasks, or updates its position. */
    void put(const ScheduledJob &job, CoreTime coreTime);

    void remove(JobNumber job);

    /** Records that tasks with the processor time @p coreTime were sent to workers. */
    void recordSent(MonotonicTime now, CoreTime coreTime);

    /** Records that a task that was sent has not started. */
    void recordReturned(MonotonicTime now, CoreTime coreTime);

    /** Returns how long a job at @p key is expected to wait for those before it, from the rate at which tasks were sent recently. */
    [[nodiscard]] Duration expectedWait(MonotonicTime now, const Key &key) const;

    /**
     * Like expectedWait(), but with a rate that is bounded by what all workers can do, and is known from that before any task was sent.
     * @param cores of all workers
     * @return zero if there are no cores
     */
    [[nodiscard]] Duration expectedWaitWithin(MonotonicTime now, const Key &key, MilliCores cores) const;

    /** Returns the waiting jobs in order, with the processor time of their waiting tasks. */
    [[nodiscard]] const std::map<Key, CoreTime> &jobs() const;

private:
    /** Returns the processor time of the waiting jobs before @p key. */
    [[nodiscard]] double workBefore(const Key &key) const;

    /** Returns the processor time sent to workers per microsecond of the last RateWindow. */
    [[nodiscard]] double recentRate(MonotonicTime now) const;

    std::map<Key, CoreTime> m_jobs;
    std::map<JobNumber, Key> m_keys;
    std::deque<std::pair<MonotonicTime, CoreTime>> m_recentlySent; ///< what was sent within the last RateWindow
};

} // namespace Sycamoremoor
