// A job that a scheduler has accepted.
#pragma once

#include "shedding_policy.h"

#include <sycamoremoor/core/scheduler_output_type.h>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Sycamoremoor
{

using JobNumber = StrongType<struct JobNumberTag, std::uint64_t>; ///< numbers the jobs of one scheduler from 1

/** State of a task of a job. */
enum class ScheduledStage {
    Blocked,  ///< waits for the end of an earlier step
    Waiting,  ///< waits for a worker
    Sent,     ///< sent to a guard
    Recalled, ///< the connection of its batch was lost; waits until the guard reports the end of its run
    Done,
    End,
};

/** A task of a job and its progress. */
struct ScheduledTask {
    std::uint32_t step = 0;
    std::uint32_t index = 0; ///< index within its step
    ScheduledStage stage = ScheduledStage::Blocked;
    std::uint32_t runs = 0;         ///< number of runs that were sent
    std::uint32_t failures = 0;     ///< number of runs that failed
    bool isLong = false;            ///< its last run took much longer than expected, and made progress
    bool mayHaveRun = false;        ///< a run was reported as started, or its state is unknown
    bool isIsolated = false;        ///< it may have crashed an upstream: its next run has a worker to itself
    bool queuesAtGuard = false;     ///< its last run may wait at the guard for capacity
    bool wasSentIsolated = false;   ///< its last run had a worker to itself
    MonotonicTime readyAt;          ///< earliest time to send it; for the stages Waiting and Recalled
    std::vector<AgentName> avoided; ///< workers that refused the task, lost a run of it, or on which it failed
};

/** A job that was accepted and not yet answered. */
struct ScheduledJob {
    JobNumber number;
    std::vector<ConnectionId> connections; ///< of its callers; several if it was submitted again, none while its runs end after they left
    QueueRecordPointer queue;
    std::shared_ptr<const QueueJobSpec> spec;
    MonotonicTime arrivedAt;
    Duration objective{};           ///< time from arrival within which the job is to end
    MonotonicTime latestStart;      ///< latest start time that meets the objective
    double relativeNeed = 1;        ///< processor time that it needs, per usual job of its queue
    double draw = 0;                ///< random number from 0 to 1 that decides whether it is set back
    JobRank rank;                   ///< its place among the jobs that wait
    MonotonicTime expiresAt;        ///< from then on its result has no value for the caller
    MonotonicTime checkAt;          ///< next check whether the job has to be abandoned, unless an input causes one earlier
    Duration callerTimeout{};       ///< how long its caller waits, zero if it set no limit
    std::vector<Duration> expected; ///< expected run time of a task, by step
    std::vector<Duration> needed;   ///< the same, or longer if the progress of a run of the step told so
    std::vector<ScheduledTask> tasks;
    std::vector<std::uint32_t> openTasks;                               ///< number of tasks that are not done, by step
    std::size_t waiting = 0;                                            ///< number of tasks in stage Waiting that are not isolated
    std::size_t waitingIsolated = 0;                                    ///< number of isolated tasks in stage Waiting
    bool started = false;                                               ///< a task was sent
    MonotonicTime startedAt;                                            ///< when the first task was sent
    std::set<BatchNumber> batches;                                      ///< open batches
    std::map<std::uint32_t, std::map<AgentName, std::uint32_t>> placed; ///< number of tasks sent and not ended, by step and worker
};

/** Returns what a job is ranked by. */
[[nodiscard]] inline JobClaim claimOf(const ScheduledJob &job)
{
    return {job.queue->priority, job.arrivedAt, job.latestStart, job.relativeNeed, job.draw};
}

/** Returns the processor time that a task is expected to take. */
[[nodiscard]] inline CoreTime coreTimeOf(const ScheduledJob &job, const ScheduledTask &task)
{
    return CoreTime(job.spec->steps[task.step].size.cores.value() * job.expected[task.step].count());
}

/** Returns the processor time that a job needs. */
[[nodiscard]] inline CoreTime needOf(const ScheduledJob &job)
{
    CoreTime need{0};
    for (std::size_t step = 0; step < job.expected.size(); ++step) {
        const auto &jobStep = job.spec->steps[step];
        need += CoreTime(jobStep.size.cores.value() * job.expected[step].count() * jobStep.count);
    }
    return need;
}

/** Returns the name of a task for logs. */
[[nodiscard]] inline std::string nameOf(const ScheduledJob &job, const ScheduledTask &task)
{
    return queueTaskIdToString({job.spec->id, task.step, task.index});
}

} // namespace Sycamoremoor
