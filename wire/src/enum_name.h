// Names of enum values on the wire, and back.
#pragma once

#include <sycamoremoor/core/account_type.h>
#include <sycamoremoor/core/error_type.h>
#include <sycamoremoor/core/job_type.h>
#include <sycamoremoor/core/queue_job_type.h>
#include <sycamoremoor/core/task_type.h>

#include <array>
#include <optional>
#include <string_view>

namespace Sycamoremoor
{

inline constexpr std::array<std::string_view, static_cast<std::size_t>(AuditKind::End)> AuditKindNames{
    "config_in_force",
    "roster_change",
    "drain",
    "ejection",
    "readmission",
    "takeover",
};

inline std::string_view enumName(ErrorKind kind)
{
    return errorRow(kind).code;
}

inline std::string_view enumName(RunState state)
{
    return runStateName(state);
}

inline std::string_view enumName(TaskState state)
{
    return taskStateName(state);
}

inline std::string_view enumName(JobState state)
{
    return jobStateName(state);
}

inline std::string_view enumName(RunOutcome outcome)
{
    return runOutcomeName(outcome);
}

inline std::string_view enumName(AuditKind kind)
{
    return AuditKindNames.at(static_cast<std::size_t>(kind));
}

/** Returns the value called @p name, or nothing. */
template<typename Enum>
std::optional<Enum> enumFromName(std::string_view name)
{
    for (int value = 0; value < static_cast<int>(Enum::End); ++value) {
        if (enumName(static_cast<Enum>(value)) == name) {
            return static_cast<Enum>(value);
        }
    }
    return std::nullopt;
}

} // namespace Sycamoremoor
