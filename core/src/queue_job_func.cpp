// Text forms of task identifiers, run outcomes and job results.
#include <sycamoremoor/core/queue_job_type.h>
#include <sycamoremoor/core/scheduler_output_type.h>

#include <algorithm>
#include <array>

namespace Sycamoremoor
{

namespace
{

constexpr std::array<std::string_view, static_cast<std::size_t>(RunOutcome::End)> OutcomeNames{
    "done", "failed", "stopped", "lapsed", "not_started"};

constexpr std::array<std::string_view, static_cast<std::size_t>(QueueJobResult::End)> ResultNames{"complete", "failed", "refused", "lost"};

} // namespace

std::string_view runOutcomeName(RunOutcome outcome)
{
    return OutcomeNames.at(static_cast<std::size_t>(outcome));
}

RunOutcome runOutcomeFromName(std::string_view name)
{
    return static_cast<RunOutcome>(std::ranges::find(OutcomeNames, name) - OutcomeNames.begin());
}

std::string_view queueJobResultName(QueueJobResult result)
{
    return ResultNames.at(static_cast<std::size_t>(result));
}

std::string queueTaskIdToString(const QueueTaskId &task)
{
    return task.job.value() + "/" + std::to_string(task.step) + "/" + std::to_string(task.index);
}

} // namespace Sycamoremoor
