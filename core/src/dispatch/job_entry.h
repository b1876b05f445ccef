// The dispatcher's record of a job with queued or placed tasks.
#pragma once

#include "quota_ledger.h"
#include "resource_amount.h"

#include <sycamoremoor/core/job_type.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Sycamoremoor
{

class ServiceQueue;
struct Service;

/** A queued task. */
struct WaitingTask {
    TaskIndex index;
    Duration expected{};   ///< expected run time, as of the time of enqueueing
    Duration lowerBound{}; ///< run time that it nearly always reaches, as of the time of enqueueing
};

/** A task in retry backoff. */
struct DelayedTask {
    MonotonicTime due;
    WaitingTask task;
};

/** Incarnation of a worker that promised never to start a task. */
struct Refusal {
    AgentName agent;
    std::uint64_t generation = 0;

    friend auto operator<=>(const Refusal &, const Refusal &) = default;
};

/** State of a job in the queue of its service. */
enum class JobQueueState {
    Idle,   ///< no task waits
    Ready,  ///< its next task may be placed
    Parked, ///< its next task fits no worker at present
    End,
};

struct JobEntry;

/** Sort key of a job: lower times go first, equal times by key. */
struct JobRank {
    MonotonicTime at;
    SubmissionKey key;
    JobEntry *entry = nullptr;

    friend bool operator<(const JobRank &left, const JobRank &right)
    {
        return left.at != right.at ? left.at < right.at : left.key < right.key;
    }
};

/** A job with queued or placed tasks. */
struct JobEntry {
    JobSpecPointer job;
    Service *service = nullptr;
    ServiceQueue *queue = nullptr;
    TeamUsage *team = nullptr;
    MonotonicTime arrival;
    MonotonicTime deadline;
    std::vector<WaitingTask> waiting;                ///< tasks eligible for placement; the next one is the last
    std::vector<DelayedTask> delayed;                ///< tasks in retry backoff, not yet eligible for placement
    std::map<TaskIndex, std::uint32_t> retries;      ///< number of retries by task, for tasks that were sent and did not start
    std::map<TaskIndex, std::set<Refusal>> refusals; ///< by task; the refusing agent has a tombstone and would refuse another copy, too
    std::vector<AgentName> failedOn;                 ///< first few workers on which tasks failed
    Duration totalRunTime{};                         ///< expected run time of all queued tasks
    std::uint32_t placed = 0;                        ///< tasks placed and not ended
    bool cancelled = false;                          ///< if set, ended tasks are not retried
    JobQueueState queueState = JobQueueState::Idle;
    JobRank rank;                              ///< position in the queue of the service
    JobRank expiry;                            ///< position in the order of expiry, valid while a task is queued
    std::optional<MonotonicTime> blockedSince; ///< time since which its next task has fitted no worker
    ResourceAmount parkedNeed;                 ///< resources of the task for which it is parked
};

} // namespace Sycamoremoor
