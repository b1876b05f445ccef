// Everything that can happen to a scheduler.
#pragma once

#include <sycamoremoor/core/entry_input_type.h>
#include <sycamoremoor/core/guard_message_type.h>
#include <sycamoremoor/core/queue_type.h>

#include <memory>
#include <variant>

namespace Sycamoremoor
{

using QueueSetPointer = std::shared_ptr<const QueueSet>;

/** Configuration was read. */
struct QueuesRead {
    QueueSetPointer queues;
};

/** A caller hands in a job that nobody has to remember after its answer. Answered once by AnswerQueueJob. */
struct QueueJobSubmitted {
    ConnectionId connection;
    QueueRecord queue;
    std::shared_ptr<const QueueJobSpec> spec;
    Duration callerTimeout{}; ///< how long the caller waits, zero if it did not say
};

/** The room of a worker, as its guard tells it. */
struct CapacityReported {
    AgentName agent;
    ZoneName zone;
    CapacityReport report;
};

/** Nothing is heard of a worker's guard any more. */
struct WorkerUnreachable {
    AgentName agent;
};

/** A run of a batch ended. */
struct RunReported {
    BatchNumber batch;
    RunReport report;
};

/** The exchange of a batch broke before all of its runs were reported. */
struct BatchInterrupted {
    BatchNumber batch;
    Delivery delivery = Delivery::Unknown;
};

using SchedulerInput = std::variant<Tick,
                                    QueuesRead,
                                    QueueJobSubmitted,
                                    CallerDisconnected,
                                    CapacityReported,
                                    WorkerUnreachable,
                                    RunReported,
                                    BatchInterrupted,
                                    DrainRequested>;

} // namespace Sycamoremoor
