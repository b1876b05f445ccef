// Jobs of configured queues: steps of equal tasks, each of which runs after the steps that it names.
#pragma once

#include <sycamoremoor/core/queue_type.h>
#include <sycamoremoor/core/task_type.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Sycamoremoor
{

using QueueJobId = StrongType<struct QueueJobIdTag, std::string>; ///< identifies a job of a queue; chosen by the caller

/** A step of a job: tasks of one size that may run in parallel. */
struct QueueJobStep {
    std::uint32_t count = 1;
    TaskSize size;
    Duration declaredRunTime{};       ///< the caller's rough estimate of a task's run time
    std::vector<std::uint32_t> after; ///< indices of earlier steps that must have succeeded
    std::string requiredLabel;        ///< label that the worker must have, empty if any will do
    std::string dataRack;             ///< rack on which its tasks run fastest, empty if there is no preference
    std::uint32_t mostPerWorker = 0;  ///< most tasks of the step on one worker at the same time, zero for no limit

    friend bool operator==(const QueueJobStep &, const QueueJobStep &) = default;
};

/** A job as its caller submitted it. */
struct QueueJobSpec {
    QueueJobId id;
    std::string payload; ///< sent unchanged to the upstream with each task
    std::vector<QueueJobStep> steps;

    friend bool operator==(const QueueJobSpec &, const QueueJobSpec &) = default;
};

/** Identifies one task of a job. */
struct QueueTaskId {
    QueueJobId job;
    std::uint32_t step = 0;
    std::uint32_t index = 0; ///< index within its step

    friend auto operator<=>(const QueueTaskId &, const QueueTaskId &) = default;
};

/** Identifies one run of a task. Runs of a task are numbered from 1. */
struct RunId {
    QueueTaskId task;
    std::uint32_t number = 1;

    friend auto operator<=>(const RunId &, const RunId &) = default;
};

/** How a run ended. */
enum class RunOutcome {
    Done,       ///< the upstream reported success
    Failed,     ///< the upstream reported a failure
    Stopped,    ///< stopped by an order
    Lapsed,     ///< its lease or its upstream ended, or its guard has forgotten it: it may have run, and does not run now
    NotStarted, ///< certainly not started, and it never will be
    End,
};

/** Returns the name of @p outcome in lower case with underscores. */
std::string_view runOutcomeName(RunOutcome outcome);

/** Returns the outcome with name @p name, or RunOutcome::End. */
RunOutcome runOutcomeFromName(std::string_view name);

/** Returns "JOB/STEP/INDEX", the form used in logs. */
std::string queueTaskIdToString(const QueueTaskId &task);

} // namespace Sycamoremoor
