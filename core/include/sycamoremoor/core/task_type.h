// Tasks: declaration, state, and reports about their run.
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

/** Resources of a worker that a task uses while it runs. */
struct TaskSize {
    MilliCores cores{1000};
    Megabytes memory{256};
    Accelerators accelerators{0};

    friend bool operator==(const TaskSize &, const TaskSize &) = default;
};

/** Identifies a task. */
struct TaskId {
    SubmissionKey submission;
    TaskIndex index;

    friend auto operator<=>(const TaskId &, const TaskId &) = default;
};

/** A task as declared by the caller. */
struct TaskSpec {
    TaskKind kind;              ///< may be empty, which is a kind like any other
    std::string payload;        ///< passed to the upstream unchanged, UTF-8
    TaskSize size;              ///< as declared; often inaccurate
    Duration declaredRunTime{}; ///< often inaccurate
    bool idempotent = true;     ///< false if it must not run twice, such as bookings and filings

    friend bool operator==(const TaskSpec &, const TaskSpec &) = default;
};

/** State of a task at the agent that it was sent to. */
enum class TaskState {
    NeverStarted, ///< not started, and guaranteed never to start
    Queued,       ///< accepted; waits at the agent for a slot
    Running,      ///< sent to the upstream
    Succeeded,    ///< the upstream returned a result
    Failed,       ///< the upstream returned a failure
    Stopped,      ///< the upstream was ordered to stop it while it ran
    Lost,         ///< the upstream process ended while the task ran or may have run
    End,
};

/** Returns whether @p state is final. */
constexpr bool isFinal(TaskState state)
{
    return state == TaskState::NeverStarted || state >= TaskState::Succeeded;
}

/** Report of an agent to an owner about one task. */
struct TaskReport {
    TaskId task;
    ReportSequence sequence;  ///< zero in answers to queries about unfinished tasks
    std::uint64_t digest = 0; ///< JobSpec::digest of the job that the task was started for; zero if unknown to the agent
    TaskState state = TaskState::NeverStarted;
    RunState ran = RunState::NotRun;   ///< never NotRun for TaskState::Lost
    ErrorKind error = ErrorKind::None; ///< why it did not succeed
    std::string result;                ///< answer of the upstream if the task succeeded, error message if it failed
    bool resultReleased = false;       ///< the task ended, but its result is no longer stored
    WallTime startedAt{};              ///< by the clock of the agent; epoch if the task did not start
    WallTime finishedAt{};             ///< by the clock of the agent; epoch if the task did not finish

    friend bool operator==(const TaskReport &, const TaskReport &) = default;
};

/** State and history of one task in an account. */
struct TaskAccount {
    TaskIndex index;
    TaskKind kind;
    bool idempotent = true;
    RunState ran = RunState::NotRun;
    TaskState state = TaskState::NeverStarted;
    ErrorKind error = ErrorKind::None; ///< why it did not succeed, or why its run is unknown
    AgentName agent;                   ///< agent that it was last sent to, empty if none
    Endpoint upstream;                 ///< upstream of that agent
    std::uint32_t attempts = 0;        ///< number of times it was sent to an agent; at most one of them started it
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
