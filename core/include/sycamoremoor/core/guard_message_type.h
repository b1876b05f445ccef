// Messages between schedulers and guards.
#pragma once

#include <sycamoremoor/core/crash_notice_type.h>
#include <sycamoremoor/core/queue_job_type.h>
#include <sycamoremoor/core/time_type.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Sycamoremoor
{

using BatchNumber = StrongType<struct BatchNumberTag, std::uint64_t>; ///< numbers the batches of one scheduler from 1

using GuardTime = StrongAmount<struct GuardTimeTag, std::int64_t>; ///< microseconds by the monotonic clock of one incarnation of a guard

using RunTimeRatio = StrongAmount<struct RunTimeRatioTag, std::int64_t>; ///< run time divided by the expected one, in thousandths

/** Priority of a run. Of the runs that wait for capacity, the one with the lesser value starts first. */
struct Urgency {
    bool isOrdinary = true; ///< false for runs that are started before all others, as those of a queue of priority 0
    Duration slack{};       ///< time until its turn, which is its latest start or later; negative once that has passed

    friend auto operator<=>(const Urgency &, const Urgency &) = default;
};

/** One run that a guard is to start. */
struct RunOrder {
    RunId run;
    TaskSize size;
    Urgency urgency;        ///< when the batch was sent
    Duration startWithin{}; ///< from receipt by the guard; the run is not started later, nor after StartBatch::expiresAt
    Duration expected{};    ///< run time that the scheduler expects on this worker, zero if not stated
    Duration runLimit{};    ///< from its start; a run that has not ended by then is considered hung and is stopped
    Duration reference{};   ///< run time expected on a worker of usual speed, zero if the run tells nothing about the worker's speed

    friend bool operator==(const RunOrder &, const RunOrder &) = default;
};

/**
 * Scheduler to guard: start runs of one job. The guard stops the runs when the connection of the batch ends.
 *
 * Its times are by the guard's clock, so that they hold however long the batch is on its way.
 */
struct StartBatch {
    EntryName scheduler;
    Incarnation schedulerIncarnation;
    BatchNumber batch;
    Incarnation guard;         ///< the incarnation that the batch is meant for; another one refuses it
    GuardTime receiveBy;       ///< the guard refuses the batch if it is received later
    GuardTime leaseUntil;      ///< runs that have not ended by then are stopped, unless BatchRenewal extends the lease
    GuardTime expiresAt;       ///< runs that have not ended by then are stopped
    Duration reportInterval{}; ///< shortest time between two reports of capacity to the scheduler, zero if it does not mind
    QueueName queue;           ///< queue of the job
    std::string payload;       ///< payload of the job
    std::vector<RunOrder> orders;

    friend bool operator==(const StartBatch &, const StartBatch &) = default;
};

/** Scheduler to guard: the scheduler still waits for the runs of these batches. */
struct BatchRenewal {
    EntryName scheduler;
    Incarnation schedulerIncarnation;
    std::vector<BatchNumber> batches;
    GuardTime leaseUntil;

    friend bool operator==(const BatchRenewal &, const BatchRenewal &) = default;
};

/**
 * Scheduler to guard: end a batch whose connection was lost, and report all of its runs on the connection of this message.
 * A batch that has not been received yet is refused when it is.
 */
struct BatchRecall {
    EntryName scheduler;
    Incarnation schedulerIncarnation;
    BatchNumber batch;
    Incarnation guard;        ///< the incarnation that the batch was sent to
    std::uint32_t orders = 0; ///< number of orders of the batch

    friend bool operator==(const BatchRecall &, const BatchRecall &) = default;
};

/** Guard to scheduler: a run of the batch ended, or will never start. */
struct RunReport {
    std::uint32_t order = 0; ///< index in StartBatch::orders
    RunOutcome outcome = RunOutcome::NotStarted;
    Duration runTime{};                ///< from the confirmation of its start to its end, zero if it did not start
    ErrorKind error = ErrorKind::None; ///< reason of NotStarted and Stopped
    CrashNumber crash;                 ///< crash of the upstream that ended the run, zero if none did
    bool isSuspect = false;            ///< the run may have caused that crash

    friend bool operator==(const RunReport &, const RunReport &) = default;
};

/** Guard to scheduler: a run of the batch makes progress, but its work will take much longer than was expected. */
struct RunProjection {
    std::uint32_t order = 0; ///< index in StartBatch::orders
    Duration runTime{};      ///< from the confirmation of its start to its end, as its progress so far tells

    friend bool operator==(const RunProjection &, const RunProjection &) = default;
};

/** Guard to schedulers: capacity and free capacity of its upstream. */
struct CapacityReport {
    Incarnation incarnation; ///< of the guard
    /** False while the guard drains, its zone is evacuated, or its upstream is leaving, does not answer, is not known or has unknown runs. */
    bool accepting = false;
    ServiceName service;
    TaskSize capacity = {MilliCores(0), Megabytes(0), Accelerators(0)};
    TaskSize free = {MilliCores(0), Megabytes(0), Accelerators(0)}; ///< may be negative while runs wait for capacity
    std::uint32_t waiting = 0;                                      ///< number of runs that wait for capacity
    std::vector<std::string> labels;                                ///< labels of the upstream's machine, including its rack
    BatchNumber lastCountedBatch;                                   ///< highest batch of the receiving scheduler that @c free accounts for
    GuardTime clock;                                                ///< when the report was sent, zero if not stated
    RunTimeRatio runTimeRatio; ///< measured run time divided by RunOrder::reference, zero if too few runs were measured
    RunTimeRatio ratioError;   ///< standard error of the logarithm of runTimeRatio, in thousandths

    friend bool operator==(const CapacityReport &, const CapacityReport &) = default;
};

/** Scheduler to guard, and guard to its schedulers: callers have cancelled these jobs, at whatever scheduler. */
struct JobCancellation {
    std::vector<QueueJobId> jobs;

    friend bool operator==(const JobCancellation &, const JobCancellation &) = default;
};

/** Guard to scheduler: nothing of the jobs of a JobCancellation is started here any more, and their runs are being stopped. */
struct JobCancellationReply {
    std::vector<QueueJobId> stopped; ///< jobs of which there were runs

    friend bool operator==(const JobCancellationReply &, const JobCancellationReply &) = default;
};

/** Entry of a guard in the agent directory, by which schedulers find it. */
struct AgentRecord {
    AgentName agent;
    Endpoint endpoint;
    ZoneName zone;

    friend bool operator==(const AgentRecord &, const AgentRecord &) = default;
};

} // namespace Sycamoremoor
