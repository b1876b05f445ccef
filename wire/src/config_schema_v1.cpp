// Upgrade of configuration records of schema 1.
#include "config_schema_v1.h"

#include <algorithm>

namespace Sycamoremoor
{

ServiceRecord upgrade(const ServiceRecordV1 &record)
{
    ServiceRecord newest;
    newest.slotsPerUpstream = Slots(record.slots);
    newest.connectionsPerUpstream = Connections(record.connections);
    newest.defaultDeadline = std::chrono::seconds(record.deadlineSeconds);
    newest.maxDeadline = std::max(newest.maxDeadline, newest.defaultDeadline);
    newest.maxRunTime = std::chrono::seconds(record.maxRunSeconds);
    return newest;
}

TeamRecord upgrade(const TeamRecordV1 &record)
{
    TeamRecord newest;
    newest.quotaSlots = static_cast<std::uint32_t>(record.quota);
    newest.weight = static_cast<std::uint32_t>(record.weight);
    return newest;
}

PolicyRecord upgrade(const PolicyRecordV1 &record)
{
    PolicyRecord newest;
    newest.ejectAfterFailures = static_cast<std::uint32_t>(record.ejectAfter);
    newest.maxEjectedPercent = static_cast<std::uint32_t>(record.maxEjectedPercent);
    newest.ejectionTime = std::chrono::seconds(record.ejectionSeconds);
    return newest;
}

} // namespace Sycamoremoor
