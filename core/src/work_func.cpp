// Names of run outcomes and tasks.
#include <sycamoremoor/core/work_type.h>

#include <algorithm>
#include <array>

namespace Sycamoremoor
{

namespace
{

constexpr std::array<std::string_view, static_cast<std::size_t>(RunOutcome::End)> OutcomeNames{
    "done", "failed", "stopped", "lapsed", "not_started"};

} // namespace

std::string_view runOutcomeName(RunOutcome outcome)
{
    return OutcomeNames.at(static_cast<std::size_t>(outcome));
}

RunOutcome runOutcomeFromName(std::string_view name)
{
    return static_cast<RunOutcome>(std::ranges::find(OutcomeNames, name) - OutcomeNames.begin());
}

std::string workTaskIdToString(const WorkTaskId &task)
{
    return task.work.value() + "/" + std::to_string(task.step) + "/" + std::to_string(task.index);
}

} // namespace Sycamoremoor
