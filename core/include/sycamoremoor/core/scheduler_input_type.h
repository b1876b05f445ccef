// Inputs of a scheduler.
#pragma once

#include <sycamoremoor/core/entry_input_type.h>
#include <sycamoremoor/core/guard_message_type.h>
#include <sycamoremoor/core/queue_type.h>

#include <cstddef>
#include <memory>
#include <variant>
#include <vector>

namespace Sycamoremoor
{

/** A version of the configuration was read from the store. */
struct QueuesRead {
    QueueSetPointer queues;
};

/** A caller submits a job whose result is not stored after its answer. Answered once by AnswerQueueJob. */
struct QueueJobSubmitted {
    ConnectionId connection;
    QueueRecordPointer queue;
    std::shared_ptr<const QueueJobSpec> spec;
    Duration callerTimeout{}; ///< how long the caller waits for the answer, zero if it set no limit
};

/** A caller cancels a job: none of its tasks is started any more, and its runs are stopped. Answered once by AnswerCancel. */
struct QueueJobCancelled {
    ConnectionId connection;
    QueueJobId job;
};

/** The guards were told of a cancelled job. */
struct CancelSpread {
    QueueJobId job;
    bool isConfirmed = false; ///< all guards with contact have confirmed that they start nothing of it any more
    bool hadRuns = false;     ///< a guard had runs of it
};

/** A guard tells that jobs were cancelled, at this scheduler or another one. It may tell so again. */
struct JobsCancelledElsewhere {
    AgentName agent;
    std::vector<QueueJobId> jobs;
};

/** A guard reported the free capacity of its worker. */
struct CapacityReported {
    AgentName agent;
    ZoneName zone;
    CapacityReport report;
};

/** A guard reported that its upstream crashed. It may report the same crash again. */
struct CrashReported {
    AgentName agent;
    CrashNotice notice;
};

/** The connection to a worker's guard ended, or no report arrived on it in time. */
struct WorkerUnreachable {
    AgentName agent;
};

/** The scheduler no longer follows the capacity of a worker. */
struct WorkerUnfollowed {
    AgentName agent;
};

/** The number of workers that the scheduler follows has changed, or whether there are others. */
struct WorkersChosen {
    std::size_t followed = 0;
    bool isAll = true; ///< there are no others
};

/** A guard reported the end of a run of a batch. */
struct RunReported {
    BatchNumber batch;
    RunReport report;
};

/** The connection of a batch ended before the guard had reported all of its runs. Answered by RecallBatch if the batch may have arrived. */
struct BatchInterrupted {
    BatchNumber batch;
    Delivery delivery = Delivery::Unknown;
};

using SchedulerInput = std::variant<Tick,
                                    QueuesRead,
                                    QueueJobSubmitted,
                                    QueueJobCancelled,
                                    CancelSpread,
                                    JobsCancelledElsewhere,
                                    CallerDisconnected,
                                    CapacityReported,
                                    CrashReported,
                                    WorkerUnreachable,
                                    WorkerUnfollowed,
                                    WorkersChosen,
                                    RunReported,
                                    BatchInterrupted,
                                    DrainRequested>;

} // namespace Sycamoremoor
