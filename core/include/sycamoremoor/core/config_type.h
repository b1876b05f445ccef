// Configuration records in their newest schema, as they are in force.
#pragma once

#include <sycamoremoor/core/id_type.h>
#include <sycamoremoor/core/time_type.h>
#include <sycamoremoor/core/unit_type.h>

#include <cstdint>
#include <map>
#include <string>

namespace Sycamoremoor
{

/** A service whose upstreams run tasks. Field by field in docs/CONFIGURATION.md. */
struct ServiceRecord {
    ServiceName name;
    Slots slotsPerUpstream{8};                           ///< tasks an upstream runs side by side
    Connections connectionsPerUpstream{64};              ///< connections an upstream accepts
    Duration defaultDeadline = std::chrono::seconds(30); ///< for submissions that name none
    Duration maxDeadline = std::chrono::minutes(5);
    Duration maxRunTime = std::chrono::seconds(60); ///< a task over this is stopped
    ByteCount maxQueueBytes{64LL << 20};            ///< payload bytes that may wait at one owner
    std::uint32_t maxQueueTasks = 50'000;           ///< tasks that may wait at one owner

    friend bool operator==(const ServiceRecord &, const ServiceRecord &) = default;
};

/** A team that submits work. */
struct TeamRecord {
    TeamName name;
    std::uint32_t quotaSlots = 0;         ///< tasks of the team that may run at once, all owners together; 0 means no limit
    std::uint32_t weight = 1;             ///< share of what is idle, against other teams
    std::uint32_t maxQueueTasks = 20'000; ///< tasks of the team that may wait at one owner

    friend bool operator==(const TeamRecord &, const TeamRecord &) = default;
};

/** Rules of dispatch that hold for all services. */
struct PolicyRecord {
    std::uint32_t agentsPerOwner = 128;                  ///< how many agents one entry takes on before the work is split
    std::uint32_t agentQueue = 1;                        ///< tasks that may wait at an agent to hide the round trip
    std::uint32_t ejectAfterFailures = 4;                ///< failures in a row, of different jobs, after which a worker is set aside
    std::uint32_t maxEjectedPercent = 30;                ///< share of workers that may be set aside
    Duration ejectionTime = std::chrono::seconds(5);     ///< first ejection; doubles at each further one
    std::uint32_t retryBudgetPercent = 10;               ///< resends of tasks that did not start, as a share of starts
    Duration answerRetention = std::chrono::minutes(10); ///< how long answers are kept, memory permitting
    ByteCount answerBytes{48LL << 20};                   ///< bytes of answers kept at one entry

    friend bool operator==(const PolicyRecord &, const PolicyRecord &) = default;
};

/** The whole configuration of one revision. */
struct ConfigSet {
    Revision revision;  ///< zero means none was ever accepted
    ChangeId changeId;  ///< of the change that made it
    std::string author; ///< who made it
    WallTime changedAt{};
    std::map<ServiceName, ServiceRecord> services;
    std::map<TeamName, TeamRecord> teams;
    PolicyRecord policy;

    friend bool operator==(const ConfigSet &, const ConfigSet &) = default;
};

} // namespace Sycamoremoor
