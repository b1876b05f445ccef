// Assigns queued tasks to workers: admission, queueing, quotas, placement, ejection of workers.
#pragma once

#include <sycamoremoor/core/agent_message_type.h>
#include <sycamoremoor/core/config_type.h>
#include <sycamoremoor/core/job_type.h>
#include <sycamoremoor/core/step_type.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Sycamoremoor
{

/** State of a worker as its agent's heartbeats report it. */
struct WorkerState {
    AgentName agent;
    Incarnation incarnation;
    ZoneName zone;
    ServiceName service;
    WorkerCapacity capacity;
    WorkerUsage usage;
    bool accepting = true;                ///< false while it leaves, its upstream is unhealthy, or its heartbeats are missing
    std::uint32_t tasksOfOtherOwners = 0; ///< tasks at the worker that other owners placed
};

/** Result of an admission check. */
struct Admission {
    ErrorKind error = ErrorKind::None;
    std::string detail;
    Duration retryAfter{}; ///< estimated time until the submission can be admitted
};

/** A task that is to be sent to a worker now. */
struct Placement {
    TaskId task;
    AgentName agent;
    Incarnation incarnation;
};

/** Outcome of a placed task. */
struct PlacementEnd {
    enum class Kind {
        Succeeded,
        Failed,     ///< the upstream reports that the task failed
        Lost,       ///< the upstream or the agent lost the task
        NotStarted, ///< provably not started; the task is retried when the retry budget allows
        Refused,    ///< its agent promised never to start it; the task is retried on another worker when the budget allows
        End,
    };
    Kind kind = Kind::Succeeded;
    Duration runTime{}; ///< zero if unknown
};

/** Ejection or readmission of a worker, for the audit trail. */
struct WorkerEvent {
    AgentName agent;
    bool ejected = false; ///< false if the worker was readmitted
    std::string reason;
};

/** Callbacks that observe the dispatcher or replace a part of it. The standard policy applies where a hook is not set. */
struct DispatcherHooks {
    std::function<void(const WorkerEvent &)> workerEvent; ///< called on each ejection and readmission
    /**
     * Chooses a worker in place of the standard policy; used for baselines in benchmarks. Receives the names of the accepting
     * workers with a free slot or a free place in the agent's queue, and random bits. Returns an index, taken modulo their number.
     */
    std::function<std::size_t(const std::vector<AgentName> &, std::uint64_t)> chooseWorker;
};

/**
 * Queue and placement of tasks in one entry. It does no I/O and reads no clock, so it is deterministic.
 *
 * Every task passed to enqueue() leaves the queue by exactly one of place(), cancel() and expire().
 * Every task returned by place() is ended by exactly one call of ended().
 */
class Dispatcher
{
public:
    Dispatcher(ZoneName zone, DispatcherHooks hooks);
    ~Dispatcher();

    Dispatcher(Dispatcher &&) noexcept;
    Dispatcher &operator=(Dispatcher &&) noexcept;

    /** Applies a configuration. @param ownerShare this entry's share of the quotas, 0 to 1 */
    void configure(const std::shared_ptr<const ConfigSet> &config, double ownerShare);

    /** Adds a worker or updates its state. */
    void updateWorker(MonotonicTime now, const WorkerState &worker);

    /** Removes a worker. Tasks placed on it are still ended by ended(). */
    void removeWorker(const AgentName &agent);

    /** Checks whether a submission can be admitted; changes no state. @param deadline time left until the job must have ended */
    [[nodiscard]] Admission admit(MonotonicTime now, const JobSpec &job, Duration deadline) const;

    /** Enqueues tasks of a job. @param tasks indices of the tasks, @param deadline time by which the job must have ended */
    void enqueue(MonotonicTime now, const JobSpecPointer &job, const std::vector<TaskIndex> &tasks, MonotonicTime deadline);

    /**
     * Counts a task as placed that a former owner placed; called at a takeover. The task is ended by ended(), and is retried
     * like any other if its agent did not start it.
     */
    void adopt(MonotonicTime now, const JobSpecPointer &job, TaskIndex task, const AgentName &agent, MonotonicTime deadline);

    /** Cancels a job: removes its tasks that are not placed from the queue and returns them. */
    std::vector<TaskIndex> cancel(const SubmissionKey &job);

    /** Removes the tasks of jobs that can no longer meet their deadline from the queue and returns them. */
    std::vector<TaskId> expire(MonotonicTime now);

    /** Chooses tasks to send now and counts them as placed. @param entropy random bits for the choice among equal workers */
    std::vector<Placement> place(MonotonicTime now, std::uint64_t entropy);

    /**
     * Records the end of a placed task.
     * @return for NotStarted and Refused: whether the task is retried; false if its backoff would reach the deadline or the job was
     *         cancelled
     */
    bool ended(MonotonicTime now, const TaskId &task, const PlacementEnd &end);

    /** Returns the expected run time of a task of @p kind. @param declared run time that the caller declared */
    [[nodiscard]] Duration expectedRunTime(const ServiceName &service, const TaskKind &kind, Duration declared) const;

    /** Returns the time at which place() or expire() may have something to do without a new event. */
    [[nodiscard]] std::optional<MonotonicTime> nextWake() const;

    [[nodiscard]] std::uint32_t queuedTasks() const;
    [[nodiscard]] std::uint32_t placedTasks() const;
    [[nodiscard]] bool isEjected(const AgentName &agent) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sycamoremoor
