// Which task goes to which worker next: admission, queueing, quotas, placement, setting workers aside.
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

/** What the dispatcher knows of a worker, from its agent's heartbeats. */
struct WorkerState {
    AgentName agent;
    Incarnation incarnation;
    ZoneName zone;
    ServiceName service;
    WorkerCapacity capacity;
    WorkerUsage usage;
    bool accepting = true;                ///< false while it leaves, its upstream is unhealthy, or it is silent
    std::uint32_t tasksOfOtherOwners = 0; ///< tasks there that this dispatcher did not place
};

/** Whether a submission is taken. */
struct Admission {
    ErrorKind error = ErrorKind::None;
    std::string detail;
    Duration retryAfter{}; ///< honest estimate of when room will be
};

/** A task that is to be sent to a worker now. */
struct Placement {
    TaskId task;
    AgentName agent;
    Incarnation incarnation;
};

/** How a task that was placed came to its end. */
struct PlacementEnd {
    enum class Kind {
        Succeeded,
        Failed,     ///< the upstream says that the task failed
        Lost,       ///< upstream or agent lost it
        NotStarted, ///< provably not started; the task goes back to the queue if the budget allows
        Refused,    ///< its agent promised never to start it; it goes back to the queue for another worker, if the budget allows
        End,
    };
    Kind kind = Kind::Succeeded;
    Duration runTime{}; ///< zero if unknown
};

/** A change of a worker's standing, for the audit trail. */
struct WorkerEvent {
    AgentName agent;
    bool ejected = false; ///< or readmitted
    std::string reason;
};

/** Behaviour of the dispatcher that varies. Unset hooks use the standard policy. */
struct DispatcherHooks {
    std::function<void(const WorkerEvent &)> workerEvent; ///< told of each ejection and readmission
    /** Chooses among workers that fit; for baselines. Gets the candidates' names and random bits. */
    std::function<std::size_t(const std::vector<AgentName> &, std::uint64_t)> chooseWorker;
};

/**
 * Queue and placement of one entry. No I/O, no clock; deterministic.
 *
 * Every task given to enqueue() leaves by exactly one of: place(), cancel(), expire().
 * Every task from place() comes back by exactly one ended().
 */
class Dispatcher
{
public:
    Dispatcher(ZoneName zone, DispatcherHooks hooks);
    ~Dispatcher();

    Dispatcher(Dispatcher &&) noexcept;
    Dispatcher &operator=(Dispatcher &&) noexcept;

    /** Puts a configuration in force. @param ownerShare this entry's share of the quotas, 0 to 1 */
    void configure(const std::shared_ptr<const ConfigSet> &config, double ownerShare);

    /** Adds a worker or takes over what its agent now says of it. */
    void updateWorker(MonotonicTime now, const WorkerState &worker);

    /** Forgets a worker. Tasks placed there still come back by ended(). */
    void removeWorker(const AgentName &agent);

    /** Checks whether a submission can be taken, and changes nothing. @param deadline time left */
    [[nodiscard]] Admission admit(MonotonicTime now, const JobSpec &job, Duration deadline) const;

    /** Queues tasks of a job. @param tasks which of them, @param deadline when the job must have ended */
    void enqueue(MonotonicTime now, const JobSpecPointer &job, const std::vector<TaskIndex> &tasks, MonotonicTime deadline);

    /**
     * Counts a task as placed that another owner placed: adopted at a takeover. It comes back by ended(), and is queued
     * like any other if its agent did not start it.
     */
    void adopt(MonotonicTime now, const JobSpecPointer &job, TaskIndex task, const AgentName &agent, MonotonicTime deadline);

    /** Takes the tasks of a job that were not placed out of the queue. Returns them. */
    std::vector<TaskIndex> cancel(const SubmissionKey &job);

    /** Takes tasks out of the queue whose job cannot meet its deadline any more. Returns them. */
    std::vector<TaskId> expire(MonotonicTime now);

    /** Chooses tasks to send now; they count as placed from here on. */
    std::vector<Placement> place(MonotonicTime now, std::uint64_t entropy);

    /**
     * A placed task came to its end.
     * @return for NotStarted and Refused: whether the task is queued again; false if the retry budget is spent or the job was cancelled
     */
    bool ended(MonotonicTime now, const TaskId &task, const PlacementEnd &end);

    /** Returns how long a task of @p kind is expected to run. @param declared by the caller */
    [[nodiscard]] Duration expectedRunTime(const ServiceName &service, const TaskKind &kind, Duration declared) const;

    /** Returns when place() or expire() may have something to do without a new event. */
    [[nodiscard]] std::optional<MonotonicTime> nextWake() const;

    [[nodiscard]] std::uint32_t queuedTasks() const;
    [[nodiscard]] std::uint32_t placedTasks() const;
    [[nodiscard]] bool isEjected(const AgentName &agent) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sycamoremoor
