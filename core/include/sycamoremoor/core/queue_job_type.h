// A job of a queue: steps of equal tasks, each step after those that it names.
#pragma once

#include <sycamoremoor/core/queue_type.h>
#include <sycamoremoor/core/task_type.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Sycamoremoor
{

using QueueJobId = StrongType<struct QueueJobIdTag, std::string>; ///< names a job of a queue, chosen by the caller

/** Tasks of one size that may run side by side. */
struct QueueJobStep {
    std::uint32_t count = 1;
    TaskSize size;
    Duration declaredRunTime{};       ///< a rough guess
    std::vector<std::uint32_t> after; ///< earlier steps that must have ended well
    std::string requiredLabel;        ///< label that the worker must have, empty if any will do
    std::string dataRack;             ///< rack on which it runs fastest, empty if all are equal
    std::uint32_t mostPerWorker = 0;  ///< tasks of the step on one worker at once, zero: no limit

    friend bool operator==(const QueueJobStep &, const QueueJobStep &) = default;
};

/** A job as its caller sent it. */
struct QueueJobSpec {
    QueueJobId id;
    std::string payload; ///< handed to the upstream with each task, as it is
    std::vector<QueueJobStep> steps;

    friend bool operator==(const QueueJobSpec &, const QueueJobSpec &) = default;
};

/** Names one task of a job. */
struct QueueTaskId {
    QueueJobId job;
    std::uint32_t step = 0;
    std::uint32_t index = 0; ///< in its step

    friend auto operator<=>(const QueueTaskId &, const QueueTaskId &) = default;
};

/** One start of a task. Starts of a task are numbered from 1. */
struct RunId {
    QueueTaskId task;
    std::uint32_t number = 1;

    friend auto operator<=>(const RunId &, const RunId &) = default;
};

/** How a run came to its end. */
enum class RunOutcome {
    Done,       ///< the upstream ended it well
    Failed,     ///< the upstream said that it failed
    Stopped,    ///< it was told to stop
    Lapsed,     ///< its lease ended, or its upstream did
    NotStarted, ///< provably not started, and it never will be
    End,
};

/** Returns the name of @p outcome in lower case with underscores. */
std::string_view runOutcomeName(RunOutcome outcome);

/** Returns the outcome with name @p name, or RunOutcome::End. */
RunOutcome runOutcomeFromName(std::string_view name);

/** Returns "WORK/STEP/INDEX", as in logs. */
std::string queueTaskIdToString(const QueueTaskId &task);

} // namespace Sycamoremoor
