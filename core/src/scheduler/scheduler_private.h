// State and private functions of a scheduler.
#pragma once

#include "../cancelled_jobs.h"
#include "../dispatch/run_time_estimator.h"
#include "../machine_step.h"
#include "bulkhead.h"
#include "crash_record.h"
#include "job_order.h"
#include "lag_meter.h"
#include "lease_times_func.h"
#include "placement.h"
#include "reference_estimator.h"
#include "scheduled_job.h"
#include "shedding_policy.h"
#include "worker_table.h"

#include <sycamoremoor/core/scheduler_machine.h>

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Sycamoremoor
{

using SchedulerStep = MachineStep<SchedulerOutputs>;

class SchedulerMachine::Private
{
public:
    explicit Private(SchedulerSettings settings);

    void handle(SchedulerStep &step, const Tick &input);
    void handle(SchedulerStep &step, const QueuesRead &input);
    void handle(SchedulerStep &step, const QueueJobSubmitted &input);
    void handle(SchedulerStep &step, const QueueJobCancelled &input);
    void handle(SchedulerStep &step, const CancelSpread &input);
    void handle(SchedulerStep &step, const JobsCancelledElsewhere &input);
    void handle(SchedulerStep &step, const CallerDisconnected &input);
    void handle(SchedulerStep &step, const CapacityReported &input);
    void handle(SchedulerStep &step, const CrashReported &input);
    void handle(SchedulerStep &step, const WorkerUnreachable &input);
    void handle(SchedulerStep &step, const WorkerUnfollowed &input);
    void handle(SchedulerStep &step, const WorkersChosen &input);
    void handle(SchedulerStep &step, const EvacuationsRead &input);
    void handle(SchedulerStep &step, const RunReported &input);
    void handle(SchedulerStep &step, const RunProjected &input);
    void handle(SchedulerStep &step, const BatchInterrupted &input);
    void handle(SchedulerStep &step, const DrainRequested &input);

    /** Does what is due: renews leases, places tasks, abandons expired jobs, ends a drain. Sets the timer. */
    void processDue(SchedulerStep &step);

    [[nodiscard]] bool hasJob(const QueueJobId &id) const;
    [[nodiscard]] const QueueSetPointer &queues() const;
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] Duration reportInterval() const;
    [[nodiscard]] bool isUsing(const AgentName &agent) const;
    [[nodiscard]] bool missesWorkers() const;
    [[nodiscard]] bool isEvacuated(const ZoneName &zone) const;

    /** Records how long the inputs of this step have waited, and logs when the scheduler falls behind and when it is on time again. */
    void recordLag(SchedulerStep &step);

private:
    static constexpr Duration MinRetryAfter
        = std::chrono::milliseconds(500); ///< a job submitted again earlier would arrive within the same burst

    /** A batch of which not all runs were reported. */
    struct OpenBatch {
        JobNumber job;
        AgentName agent;
        Incarnation guard;
        MonotonicTime sentAt;
        std::vector<std::size_t> tasks; ///< indices in ScheduledJob::tasks, by index of the order
        std::vector<bool> reported;     ///< whether the end was reported, by index of the order
        bool recalled = false;
    };

    /** A cancellation of a job that is not open here, until the guards have been told. */
    struct SpreadingCancel {
        std::vector<ConnectionId> connections; ///< of those who cancelled it
        bool wasKnown = false;                 ///< it was cancelled here before
    };

    /** Tasks of one job that were placed on one worker during one input. */
    struct PlacedBatch {
        BatchNumber number;
        std::vector<std::size_t> tasks;
    };

    ScheduledJob makeJob(SchedulerStep &step, const QueueJobSubmitted &input);
    /** Sets the objective of a job, and the times that follow from it and from its arrival. */
    void setTimes(ScheduledJob &job) const;
    /** A caller submits a job again whose callers had left; it goes on. */
    void resume(SchedulerStep &step, ScheduledJob &job, const QueueJobSubmitted &input);
    /** Returns why a job is refused that arrives, whatever other jobs wait. */
    [[nodiscard]] RefusalRule refusalOf(SchedulerStep &step, const ScheduledJob &job) const;
    /** Returns the error of a refused job for its caller. */
    [[nodiscard]] ErrorKind errorOf(RefusalRule rule) const;
    [[nodiscard]] Duration expectedWait(MonotonicTime now, const ScheduledJob &job);
    [[nodiscard]] WaitingClaim waitingClaimOf(MonotonicTime now, const ScheduledJob &job);
    /** Returns how many of the followed workers can hold the step of the job that the fewest of them can hold. */
    [[nodiscard]] std::size_t fittingWorkers(const ScheduledJob &job) const;
    /** Returns whether few of the followed workers can hold a step of the job, though there are others. */
    [[nodiscard]] bool needsOtherWorkers(const ScheduledJob &job) const;
    /** Returns whether a job that arrives during a planned stop certainly ends before its end. */
    [[nodiscard]] bool endsBeforeStop(MonotonicTime now, const ScheduledJob &job) const;
    /** Refuses those of the jobs that arrived in this step which got no capacity and are expected to wait for too long. */
    void refuseArrivals(SchedulerStep &step);
    /** Decides about a job that still waits: refuses it, or lets it wait. */
    void decideAgain(SchedulerStep &step, ScheduledJob &job);
    /** Returns when a job has to be placed to end within its objective, given the lag of this process. */
    [[nodiscard]] MonotonicTime latestPlacement(const ScheduledJob &job) const;
    /** Returns the least time after which a caller that was refused by @p rule is told to come back. */
    [[nodiscard]] static Duration leastRetryAfter(RefusalRule rule);
    void refuse(SchedulerStep &step, const ScheduledJob &job, RefusalRule rule, Duration expectedWait);
    void answer(SchedulerStep &step, ScheduledJob &job, QueueJobResult result, ErrorKind error);
    void cancelBatches(SchedulerStep &step, ScheduledJob &job);
    void erase(ScheduledJob &job);
    void unblockSteps(SchedulerStep &step, ScheduledJob &job);
    void enqueue(ScheduledJob &job);
    void setWaiting(SchedulerStep &step, ScheduledJob &job, ScheduledTask &task);
    void continueJob(SchedulerStep &step, ScheduledJob &job);
    void scheduleCheck(ScheduledJob &job, MonotonicTime at);
    /** Returns the time from which the job can no longer end before it expires. */
    [[nodiscard]] static MonotonicTime deadlineUnreachableAt(const ScheduledJob &job);
    void abandon(SchedulerStep &step, ScheduledJob &job);
    void recall(SchedulerStep &step, ScheduledJob &job, BatchNumber number, OpenBatch &batch);
    /** Ends a job that was cancelled, and remembers its id. @return whether it was open here */
    bool cancel(SchedulerStep &step, const QueueJobId &id);
    /** Recalls all batches of a job that has no callers any more, and keeps it until its runs have ended. */
    void endRuns(SchedulerStep &step, ScheduledJob &job);
    void runEnded(SchedulerStep &step, ScheduledJob &job, ScheduledTask &task, const AgentName &agent, const RunReport &report);
    /** Records that an upstream crashed under a run of a task. @return whether the job was answered, since the task is given up */
    bool runCrashed(SchedulerStep &step, ScheduledJob &job, ScheduledTask &task, const CrashKey &crash, bool isSuspect);
    /** Forgets a crash that was none, and what it said against tasks. */
    void crashRefuted(SchedulerStep &step, const CrashKey &crash);
    /** Returns the job and the task of an id, or null if they are not open here. */
    [[nodiscard]] std::pair<ScheduledJob *, ScheduledTask *> find(const QueueTaskId &id);
    /** Isolates a task or gives it up, if crashes say so. @return whether the job was answered */
    bool judge(SchedulerStep &step, ScheduledJob &job, ScheduledTask &task);
    [[nodiscard]] bool hasGivenUpTask(const ScheduledJob &job) const;
    void updateBulkhead(SchedulerStep &step);
    /** Logs that a worker was found to be slow, or no longer so. */
    void logSpeed(SchedulerStep &step, const AgentName &agent);
    [[nodiscard]] JobOrder &orderOf(const ScheduledJob &job);
    [[nodiscard]] std::size_t waitingCount() const;
    void runFailed(SchedulerStep &step, ScheduledJob &job, ScheduledTask &task, const AgentName &agent);
    void handleDueChecks(SchedulerStep &step);
    /** Returns whether the run time of a task that was sent to a worker tells about the speed of the worker. */
    [[nodiscard]] bool tellsSpeed(const ScheduledJob &job, const ScheduledTask &task, const AgentName &agent) const;
    void renewBatches(SchedulerStep &step);
    void place(SchedulerStep &step);
    /** Places jobs of one order. @return whether it stopped at a limit before all jobs or all capacity were used */
    bool place(SchedulerStep &step, const JobOrder &order);
    void placeIsolated(SchedulerStep &step);
    /** Places the waiting tasks of a job. @return whether none is left that could be placed */
    bool placeJob(SchedulerStep &step, ScheduledJob &job);
    [[nodiscard]] PlacementContext contextOf(SchedulerStep &step, const ScheduledJob &job) const;
    /** Sends placed tasks in a batch for each worker. */
    void sendPlaced(SchedulerStep &step, ScheduledJob &job, const std::vector<PlacedTask> &placed);
    void send(SchedulerStep &step, ScheduledJob &job, const AgentName &agent, const PlacedBatch &batch);
    [[nodiscard]] CoreTime waitingCoreTime(const ScheduledJob &job) const;
    void setTimer(SchedulerStep &step);

    SchedulerSettings m_settings;
    LeaseTimes m_leaseTimes;
    QueueSetPointer m_queues;
    WorkerTable m_workers;
    SheddingPolicy m_policy;
    Placement m_placement;
    RunTimeEstimator m_runTimes;
    ReferenceEstimator m_references;
    std::map<JobNumber, ScheduledJob> m_jobs;
    std::unordered_map<ConnectionId, JobNumber> m_callers;
    std::map<QueueJobId, JobNumber> m_byId;
    std::map<BatchNumber, OpenBatch> m_batches;
    CancelledJobs m_cancelled;
    std::map<QueueJobId, SpreadingCancel> m_spreadingCancels;
    MonotonicTime m_renewAt;             ///< when the leases of a group of guards are renewed next
    std::size_t m_renewGroup = 0;        ///< the group that is renewed next
    JobOrder m_order;                    ///< jobs of queues that are not confined
    JobOrder m_confinedOrder;            ///< jobs of confined queues
    std::set<JobNumber> m_isolatingJobs; ///< jobs with isolated tasks that wait
    CrashRecord m_crashes;
    Bulkhead m_bulkhead;
    LagMeter m_lag;
    bool m_isBehind = false;                                ///< as last logged
    std::set<std::pair<MonotonicTime, JobNumber>> m_checks; ///< next check of each job whether it has to be abandoned
    std::vector<JobNumber> m_arrivals;                      ///< jobs that were accepted in this step
    std::size_t m_placedInStep = 0;                         ///< tasks that were sent
    bool m_placesMore = false;                              ///< the limit of a step was reached before all jobs or all capacity were used
    std::size_t m_followedWorkers = 0;                      ///< as last told
    bool m_followsAllWorkers = true;
    bool m_missesWorkers = false; ///< a job was refused that needs other workers than those followed
    std::uint64_t m_lastJob = 0;
    std::optional<MonotonicTime> m_drainSince;
    bool m_stopped = false;
};

} // namespace Sycamoremoor
