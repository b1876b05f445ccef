// The order in which waiting jobs get room, and how long a new one would wait.
#pragma once

#include "scheduled_job.h"

#include <compare>
#include <deque>
#include <map>
#include <utility>

namespace Sycamoremoor
{

/** Work: processor time, in microseconds of a thousandth of a core. */
using CoreTime = StrongAmount<struct CoreTimeTag, std::int64_t>;

/**
 * Jobs by urgency. Begun jobs go first, since half a job is worth nothing; then those of queues of priority 0, and each by
 * the time at which it must begin.
 *
 * The load that this order answers: bursts of up to twice the capacity for some seconds, of jobs whose objectives leave them
 * from a tenth of a second to a second of slack. Whoever can still be on time goes first; whoever cannot is refused on arrival.
 */
class JobOrder
{
public:
    /** Place of a job in the order: earlier goes first. */
    struct Key {
        bool isNew = true;         ///< nothing of it was sent yet
        bool isOrdinary = true;    ///< its queue does not go before all others
        MonotonicTime latestStart; ///< to be on time
        JobNumber job;

        friend auto operator<=>(const Key &, const Key &) = default;
    };

    [[nodiscard]] static Key keyOf(const ScheduledJob &job);

    /** Adds a job, or moves it after a change. */
    void put(const ScheduledJob &job, CoreTime coreTime);

    void remove(JobNumber job);

    /** Notes that work was sent to workers. */
    void recordSent(MonotonicTime now, CoreTime coreTime);

    /** Returns how long a new job waits for those before it, judged by the rate at which work found room lately. */
    [[nodiscard]] Duration expectedWait(MonotonicTime now, const Key &key) const;

    /** Returns the jobs that wait, the most urgent first. */
    [[nodiscard]] const std::map<Key, CoreTime> &jobs() const;

private:
    [[nodiscard]] double recentRate(MonotonicTime now) const;

    std::map<Key, CoreTime> m_jobs;
    std::map<JobNumber, Key> m_keys;
    std::deque<std::pair<MonotonicTime, CoreTime>> m_recentlySent; ///< lately
};

} // namespace Sycamoremoor
