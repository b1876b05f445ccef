// Everything that a scheduler can ask its driver to do.
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

/** Break the exchange of a batch off: its guard stops what is left of it. Nothing is heard of the batch any more. */
struct CancelBatch {
    BatchNumber batch;
};

/** How a job ended for its caller. */
enum class QueueJobResult {
    Complete, ///< every task ended well
    Failed,   ///< a task failed as often as its queue allows
    Refused,  ///< nothing of it runs, and nothing will
    Lost,     ///< given up after it had begun; it may be sent again
    End,
};

/** Returns the name of @p result in lower case. */
std::string_view queueJobResultName(QueueJobResult result);

/** The answer to a submission; ends the exchange. */
struct AnswerQueueJob {
    ConnectionId connection;
    QueueJobResult result = QueueJobResult::Refused;
    ErrorKind error = ErrorKind::None; ///< reason of Refused and Lost
    Duration retryAfter{};             ///< when room is expected, for Refused and Lost
};

using SchedulerOutput = std::variant<SendBatch, CancelBatch, AnswerQueueJob, SetTimer, LogLine, Observation, Count, Stopped>;

using SchedulerOutputs = std::vector<SchedulerOutput>;

} // namespace Sycamoremoor
