// A job that a scheduler has taken.
#pragma once

#include <sycamoremoor/core/scheduler_output_type.h>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Sycamoremoor
{

using JobNumber = StrongType<struct JobNumberTag, std::uint64_t>; ///< numbers the jobs of one scheduler from 1

/** How far a task of a job has come. */
enum class ScheduledStage {
    Blocked, ///< a step before it has not ended
    Waiting, ///< for a worker
    Sent,    ///< to a guard
    Backoff, ///< lost; whatever became of it ends by a known time
    Done,
    End,
};

/** A task of a job. */
struct ScheduledTask {
    std::uint32_t step = 0;
    std::uint32_t index = 0; ///< in its step
    ScheduledStage stage = ScheduledStage::Blocked;
    std::uint32_t runs = 0;         ///< starts that were sent
    std::uint32_t failures = 0;     ///< runs that ended as failed
    bool mayHaveRun = false;        ///< a run was told as begun, or what became of it is not known
    MonotonicTime readyAt;          ///< of a task that waits or rests: when it may be sent
    std::vector<AgentName> avoided; ///< workers that refused it or on which it failed
};

/** A job that was taken and not answered. */
struct ScheduledJob {
    JobNumber number;
    std::vector<ConnectionId> connections; ///< of its callers: more than one if it was sent again
    QueueRecord queue;
    std::shared_ptr<const QueueJobSpec> spec;
    MonotonicTime arrivedAt;
    Duration objective{};           ///< from arrival, to be on time
    MonotonicTime latestStart;      ///< begun later it cannot be on time
    MonotonicTime expiresAt;        ///< worth nothing any more
    MonotonicTime checkAt;          ///< when it is looked at again, if nothing happens before
    std::vector<Duration> expected; ///< run time of a task, by step
    std::vector<ScheduledTask> tasks;
    std::vector<std::uint32_t> openTasks;                               ///< not done, by step
    std::size_t waiting = 0;                                            ///< tasks in stage Waiting
    bool begun = false;                                                 ///< a task was sent
    MonotonicTime begunAt;                                              ///< when the first was
    std::set<BatchNumber> batches;                                      ///< open
    std::map<std::uint32_t, std::map<AgentName, std::uint32_t>> placed; ///< tasks sent, by step and worker
};

} // namespace Sycamoremoor
