// Outputs of a scheduler: actions that its driver carries out.
#pragma once

#include <sycamoremoor/core/entry_output_type.h>
#include <sycamoremoor/core/scheduler_input_type.h>

#include <string_view>
#include <variant>
#include <vector>

namespace Sycamoremoor
{

/** Send a batch to a guard. Answered by RunReported for each run, or BatchInterrupted. */
struct SendBatch {
    AgentName agent;
    StartBatch batch;
};

/** Extend the lease of batches at a guard. Not answered; a renewal that is lost is made up for by the next. */
struct RenewBatches {
    AgentName agent;
    BatchRenewal renewal;
};

/** Recall a batch until its guard has reported all of its runs. Answered by RunReported for each run. */
struct RecallBatch {
    AgentName agent;
    BatchRecall recall;
};

/** Close the connection of a batch, or end its recall: its guard stops the remaining runs. No further input concerns the batch. */
struct CancelBatch {
    BatchNumber batch;
};

/** Result of a job, as its caller receives it. */
enum class QueueJobResult {
    Complete, ///< every task succeeded
    Failed,   ///< a task failed QueueRecord::maxAttempts times, or the job was cancelled
    Refused,  ///< no task of it runs or will run
    Lost,     ///< abandoned after a task of it may have run; the caller may submit it again
    End,
};

/** Returns the name of @p result in lower case. */
std::string_view queueJobResultName(QueueJobResult result);

/** Answer a submission and end its exchange. */
struct AnswerQueueJob {
    ConnectionId connection;
    QueueJobResult result = QueueJobResult::Refused;
    ErrorKind error = ErrorKind::None; ///< reason of all results but Complete
    Duration retryAfter{};             ///< when to submit again, for Refused and Lost
};

/** Tell all guards that a job was cancelled. Answered once by CancelSpread. */
struct SpreadCancel {
    QueueJobId job;
};

/** What became of a cancellation. */
enum class CancelOutcome {
    Cancelled,   ///< the job was open here, or had runs at a guard, or was cancelled here before
    NotFound,    ///< no guard with contact had runs of it; they start none, and neither does this scheduler
    Unconfirmed, ///< a guard with contact has not confirmed in time that it starts none
    End,
};

/** Answer a cancellation and end its exchange. */
struct AnswerCancel {
    ConnectionId connection;
    CancelOutcome outcome = CancelOutcome::Unconfirmed;
};

using SchedulerOutput = std::variant<SendBatch,
                                     RenewBatches,
                                     RecallBatch,
                                     CancelBatch,
                                     AnswerQueueJob,
                                     SpreadCancel,
                                     AnswerCancel,
                                     SetTimer,
                                     LogLine,
                                     Observation,
                                     Count,
                                     Stopped>;

using SchedulerOutputs = std::vector<SchedulerOutput>;

} // namespace Sycamoremoor
