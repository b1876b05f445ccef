// Configuration records of schema 1: times in whole seconds, no limits on queues.
#pragma once

#include <sycamoremoor/core/config_type.h>
#include <sycamoremoor/core/table/config_table.h>

#include <array>
#include <cstdint>

namespace Sycamoremoor
{

/** A service in schema 1. */
struct ServiceRecordV1 {
    std::int64_t slots = 8;
    std::int64_t connections = 64;
    std::int64_t deadlineSeconds = 30;
    std::int64_t maxRunSeconds = 60;
};

/** A team in schema 1. */
struct TeamRecordV1 {
    std::int64_t quota = 0;
    std::int64_t weight = 1;
};

/** The policy in schema 1. */
struct PolicyRecordV1 {
    std::int64_t ejectAfter = 4;
    std::int64_t maxEjectedPercent = 30;
    std::int64_t ejectionSeconds = 5;
};

inline constexpr std::int64_t MaxConfigSeconds = MaxConfigDurationMs / 1'000;

inline constexpr std::array ServiceFieldTableV1{
    numberField<&ServiceRecordV1::slots, ServiceRecordV1>("slots", "tasks", 1, 1'024, "slots_per_upstream"),
    numberField<&ServiceRecordV1::connections, ServiceRecordV1>("connections", "connections", 1, 65'535, "connections_per_upstream"),
    numberField<&ServiceRecordV1::deadlineSeconds, ServiceRecordV1>("deadline_s", "s", 1, MaxConfigSeconds, "default_deadline_ms"),
    numberField<&ServiceRecordV1::maxRunSeconds, ServiceRecordV1>("max_run_s", "s", 1, MaxConfigSeconds, "max_run_time_ms"),
};

inline constexpr std::array TeamFieldTableV1{
    numberField<&TeamRecordV1::quota, TeamRecordV1>("quota", "tasks", 0, 1'000'000, "quota_slots"),
    numberField<&TeamRecordV1::weight, TeamRecordV1>("weight", "shares", 1, 1'000, "weight"),
};

inline constexpr std::array PolicyFieldTableV1{
    numberField<&PolicyRecordV1::ejectAfter, PolicyRecordV1>("eject_after", "failures", 1, 1'000, "eject_after_failures"),
    numberField<&PolicyRecordV1::maxEjectedPercent, PolicyRecordV1>("max_ejected_percent", "percent", 0, 90, "max_ejected_percent"),
    numberField<&PolicyRecordV1::ejectionSeconds, PolicyRecordV1>("ejection_s", "s", 1, MaxConfigSeconds, "ejection_time_ms"),
};

/** Each brings a record of schema 1 into the newest form; what schema 1 did not have keeps its default. */
ServiceRecord upgrade(const ServiceRecordV1 &record);
TeamRecord upgrade(const TeamRecordV1 &record);
PolicyRecord upgrade(const PolicyRecordV1 &record);

} // namespace Sycamoremoor
