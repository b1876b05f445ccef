// A job of which the dispatcher holds tasks.
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

/** A task that waits to be placed. */
struct WaitingTask {
    TaskIndex index;
    Duration expected{};   ///< run time as it was expected when the task was queued
    Duration lowerBound{}; ///< run time that it nearly always reaches, as was known then
};

/** A task that is put off before it is tried again. */
struct DelayedTask {
    MonotonicTime due;
    WaitingTask task;
};

/** A life of a worker that promised never to start a task. */
struct Refusal {
    AgentName agent;
    std::uint64_t generation = 0;

    friend auto operator<=>(const Refusal &, const Refusal &) = default;
};

/** Where a job stands in the queue of its service. */
enum class JobQueueState {
    Idle,   ///< no task waits
    Ready,  ///< its next task may be placed
    Parked, ///< its next task fits no worker now
    End,
};

struct JobEntry;

/** Place of a job in an order: earlier goes first. */
struct JobRank {
    MonotonicTime at;
    SubmissionKey key;
    JobEntry *entry = nullptr;

    friend bool operator<(const JobRank &left, const JobRank &right)
    {
        return left.at != right.at ? left.at < right.at : left.key < right.key;
    }
};

/** A job with tasks that wait or are placed. */
struct JobEntry {
    JobSpecPointer job;
    Service *service = nullptr;
    ServiceQueue *queue = nullptr;
    TeamUsage *team = nullptr;
    MonotonicTime arrival;
    MonotonicTime deadline;
    std::vector<WaitingTask> waiting;                ///< the next one last
    std::vector<DelayedTask> delayed;                ///< wait for their time before they wait for a worker
    std::map<TaskIndex, std::uint32_t> retries;      ///< by task, of those that were sent and did not start
    std::map<TaskIndex, std::set<Refusal>> refusals; ///< by task; another copy sent there would be refused, too
    std::vector<AgentName> failedOn;                 ///< workers on which tasks failed, the first few
    Duration totalRunTime{};                         ///< expected run time of those that wait, together
    std::uint32_t placed = 0;                        ///< placed and not come back
    bool cancelled = false;                          ///< what comes back is not queued again
    JobQueueState queueState = JobQueueState::Idle;
    JobRank rank;                              ///< in the queue
    JobRank expiry;                            ///< in the order of expiry, valid while a task waits
    std::optional<MonotonicTime> blockedSince; ///< its next task has fitted no worker since then
    ResourceAmount parkedNeed;                 ///< room of the task for which it is parked
};

} // namespace Sycamoremoor
