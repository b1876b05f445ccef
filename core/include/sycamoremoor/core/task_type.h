// A task: what a caller declares, and what is known of its run.
#pragma once

#include <sycamoremoor/core/endpoint_type.h>
#include <sycamoremoor/core/error_type.h>
#include <sycamoremoor/core/id_type.h>
#include <sycamoremoor/core/submission_key.h>
#include <sycamoremoor/core/time_type.h>
#include <sycamoremoor/core/unit_type.h>

#include <compare>
#include <cstdint>
#include <string>

namespace Sycamoremoor
{

/** What a task takes of a worker while it runs. */
struct TaskSize {
    MilliCores cores{1000};
    Megabytes memory{256};
    Accelerators accelerators{0};

    friend bool operator==(const TaskSize &, const TaskSize &) = default;
};

/** Names one task among all. */
struct TaskId {
    SubmissionKey submission;
    TaskIndex index;

    friend auto operator<=>(const TaskId &, const TaskId &) = default;
};

/** A task as the caller declared it. */
struct TaskSpec {
    TaskKind kind;              ///< what it does; "" is a kind too
    std::string payload;        ///< handed to the upstream as it is, UTF-8
    TaskSize size;              ///< declared; often far off
    Duration declaredRunTime{}; ///< declared; often far off
    bool idempotent = true;     ///< false for bookings and filings

    friend bool operator==(const TaskSpec &, const TaskSpec &) = default;
};

/** How a task stands with the agent that was given it. */
enum class TaskState {
    NeverStarted, ///< not started, and promised never to start
    Queued,       ///< accepted, waits at the agent for a slot
    Running,      ///< handed to the upstream
    Succeeded,    ///< the upstream answered with a result
    Failed,       ///< the upstream answered that it failed
    Stopped,      ///< the upstream was told to stop it while it ran
    Lost,         ///< the upstream ended while it ran, or may have run
    End,
};

/** Tells whether a task in @p state can change its state no more. */
constexpr bool isFinal(TaskState state)
{
    return state == TaskState::NeverStarted || state >= TaskState::Succeeded;
}

/** What an agent tells an owner about one task. */
struct TaskReport {
    TaskId task;
    ReportSequence sequence;  ///< zero on answers to queries of unfinished tasks
    std::uint64_t digest = 0; ///< of the body of the job that the task was started for; zero if the agent does not know it
    TaskState state = TaskState::NeverStarted;
    RunState ran = RunState::NotRun;   ///< Lost is Ran or Unknown, never NotRun
    ErrorKind error = ErrorKind::None; ///< why it did not succeed
    std::string result;                ///< the upstream's answer when it succeeded, its message when it failed
    bool resultReleased = false;       ///< it ended, but its result is no longer kept
    WallTime startedAt{};              ///< by the agent's clock, epoch when it did not start
    WallTime finishedAt{};             ///< by the agent's clock, epoch when it did not finish

    friend bool operator==(const TaskReport &, const TaskReport &) = default;
};

/** One task's line in an account. */
struct TaskAccount {
    TaskIndex index;
    TaskKind kind;
    bool idempotent = true;
    RunState ran = RunState::NotRun;
    TaskState state = TaskState::NeverStarted;
    ErrorKind error = ErrorKind::None; ///< why it did not succeed, or why its run is unknown
    AgentName agent;                   ///< where it was last given to, empty if nowhere
    Endpoint upstream;                 ///< the runner beside that agent
    std::uint32_t attempts = 0;        ///< times it was sent to an agent; at most one of them started it
    WallTime startedAt{};
    WallTime finishedAt{};

    friend bool operator==(const TaskAccount &, const TaskAccount &) = default;
};

} // namespace Sycamoremoor

template<>
struct std::hash<Sycamoremoor::TaskId> {
    std::size_t operator()(const Sycamoremoor::TaskId &task) const noexcept
    {
        return std::hash<Sycamoremoor::SubmissionKey>{}(task.submission)
            ^ (static_cast<std::size_t>(task.index.value()) * 0xC2B2AE3D27D4EB4FULL);
    }
};
