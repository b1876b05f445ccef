// Names of states, for display and JSON.
#include <sycamoremoor/core/job_type.h>

#include <array>

namespace Sycamoremoor
{

namespace
{

constexpr std::array<std::string_view, static_cast<std::size_t>(JobState::End)> JobStateNames{
    "proving",
    "queued",
    "running",
    "ending",
    "complete",
    "failed",
};

constexpr std::array<std::string_view, static_cast<std::size_t>(TaskState::End)> TaskStateNames{
    "never_started",
    "queued",
    "running",
    "succeeded",
    "failed",
    "stopped",
    "lost",
};

} // namespace

std::string_view jobStateName(JobState state)
{
    return JobStateNames.at(static_cast<std::size_t>(state));
}

std::string_view taskStateName(TaskState state)
{
    return TaskStateNames.at(static_cast<std::size_t>(state));
}

} // namespace Sycamoremoor
