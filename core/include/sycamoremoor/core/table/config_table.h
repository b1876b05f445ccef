// Fields of the configuration records: name, unit, range and help. A test compares docs/CONFIGURATION.md with them.
#pragma once

#include <sycamoremoor/core/config_type.h>

#include <array>
#include <cstdint>
#include <string_view>

namespace Sycamoremoor
{

/** One numeric field of a record. Its default is the value in a default-constructed record. */
template<typename Record>
struct ConfigFieldRow {
    std::string_view name; ///< key in the newest schema
    std::string_view unit;
    std::int64_t least;
    std::int64_t most;
    std::int64_t (*read)(const Record &record);
    void (*write)(Record &record, std::int64_t value); ///< @p value must be within the range
    std::string_view help;
};

/** Makes the row of a member @p Member that is an integer or a strong type of one. */
template<auto Member, typename Record>
constexpr ConfigFieldRow<Record>
numberField(std::string_view name, std::string_view unit, std::int64_t least, std::int64_t most, std::string_view help)
{
    using Value = std::remove_cvref_t<decltype(Record{}.*Member)>;
    if constexpr (std::is_integral_v<Value>) {
        return {name,
                unit,
                least,
                most,
                [](const Record &record) { return static_cast<std::int64_t>(record.*Member); },
                [](Record &record, std::int64_t value) { record.*Member = static_cast<Value>(value); },
                help};
    } else {
        return {name,
                unit,
                least,
                most,
                [](const Record &record) { return static_cast<std::int64_t>((record.*Member).value()); },
                [](Record &record, std::int64_t value) { record.*Member = Value(value); },
                help};
    }
}

/** Makes the row of a duration member, given in milliseconds. */
template<auto Member, typename Record>
constexpr ConfigFieldRow<Record> durationField(std::string_view name, std::int64_t least, std::int64_t most, std::string_view help)
{
    return {
        name,
        "ms",
        least,
        most,
        [](const Record &record) { return std::int64_t{std::chrono::duration_cast<std::chrono::milliseconds>(record.*Member).count()}; },
        [](Record &record, std::int64_t value) { record.*Member = std::chrono::milliseconds(value); },
        help};
}

/** Bounds that several fields share. */
inline constexpr std::int64_t MaxConfigDurationMs = 3'600'000;
inline constexpr std::int64_t MaxConfigBytes = 1LL << 30;
inline constexpr std::int64_t MaxConfigTasks = 10'000'000;

inline constexpr std::array ServiceFieldTable{
    // clang-format off
    numberField<&ServiceRecord::slotsPerUpstream, ServiceRecord>("slots_per_upstream", "tasks", 1, 1'024, "tasks that an upstream runs side by side"),
    numberField<&ServiceRecord::connectionsPerUpstream, ServiceRecord>("connections_per_upstream", "connections", 1, 65'535, "connections that an upstream accepts"),
    durationField<&ServiceRecord::defaultDeadline, ServiceRecord>("default_deadline_ms", 1, MaxConfigDurationMs, "deadline of submissions that name none"),
    durationField<&ServiceRecord::maxDeadline, ServiceRecord>("max_deadline_ms", 1, MaxConfigDurationMs, "longest deadline that a submission may name"),
    durationField<&ServiceRecord::maxRunTime, ServiceRecord>("max_run_time_ms", 1, MaxConfigDurationMs, "a task that runs longer is stopped"),
    numberField<&ServiceRecord::maxQueueBytes, ServiceRecord>("max_queue_bytes", "bytes", 1'024, MaxConfigBytes, "payload bytes that may wait at one owner"),
    numberField<&ServiceRecord::maxQueueTasks, ServiceRecord>("max_queue_tasks", "tasks", 1, MaxConfigTasks, "tasks that may wait at one owner"),
    // clang-format on
};

inline constexpr std::array TeamFieldTable{
    // clang-format off
    numberField<&TeamRecord::quotaSlots, TeamRecord>("quota_slots", "tasks", 0, 1'000'000, "tasks of the team that may run at once, all owners together; 0 means no limit"),
    numberField<&TeamRecord::weight, TeamRecord>("weight", "shares", 1, 1'000, "share of what is idle, against other teams"),
    numberField<&TeamRecord::maxQueueTasks, TeamRecord>("max_queue_tasks", "tasks", 1, MaxConfigTasks, "tasks of the team that may wait at one owner"),
    // clang-format on
};

inline constexpr std::array PolicyFieldTable{
    // clang-format off
    numberField<&PolicyRecord::agentsPerOwner, PolicyRecord>("agents_per_owner", "agents", 1, 10'000, "agents that one entry takes on before the work is split"),
    numberField<&PolicyRecord::agentQueue, PolicyRecord>("agent_queue", "tasks", 0, 64, "tasks that may wait at an agent to hide the round trip"),
    numberField<&PolicyRecord::ejectAfterFailures, PolicyRecord>("eject_after_failures", "failures", 1, 1'000, "failures in a row, of different jobs, after which a worker is set aside"),
    numberField<&PolicyRecord::maxEjectedPercent, PolicyRecord>("max_ejected_percent", "percent", 0, 90, "share of workers that may be set aside"),
    durationField<&PolicyRecord::ejectionTime, PolicyRecord>("ejection_time_ms", 100, MaxConfigDurationMs, "first ejection; doubles at each further one"),
    numberField<&PolicyRecord::retryBudgetPercent, PolicyRecord>("retry_budget_percent", "percent", 0, 100, "resends of tasks that did not start, as a share of starts"),
    durationField<&PolicyRecord::answerRetention, PolicyRecord>("answer_retention_ms", 1'000, MaxConfigDurationMs, "how long answers are kept, memory permitting"),
    numberField<&PolicyRecord::answerBytes, PolicyRecord>("answer_bytes", "bytes", 65'536, MaxConfigBytes, "bytes of answers kept at one entry"),
    // clang-format on
};

} // namespace Sycamoremoor
