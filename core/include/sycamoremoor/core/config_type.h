// Configuration records in the newest schema.
#pragma once

#include <sycamoremoor/core/id_type.h>
#include <sycamoremoor/core/time_type.h>
#include <sycamoremoor/core/unit_type.h>

#include <cstdint>
#include <map>
#include <string>

namespace Sycamoremoor
{

/** Settings of a service whose upstreams run tasks. docs/CONFIGURATION.md describes each field. */
struct ServiceRecord {
    ServiceName name;
    Slots slotsPerUpstream{8};                           ///< number of tasks that an upstream runs concurrently
    Connections connectionsPerUpstream{64};              ///< number of connections that an upstream accepts
    Duration defaultDeadline = std::chrono::seconds(30); ///< for submissions without a deadline
    Duration maxDeadline = std::chrono::minutes(5);
    Duration maxRunTime = std::chrono::seconds(60); ///< a task that runs longer is stopped
    ByteCount maxQueueBytes{64LL << 20};            ///< payload bytes that may wait at one owner
    std::uint32_t maxQueueTasks = 50'000;           ///< tasks that may wait at one owner

    friend bool operator==(const ServiceRecord &, const ServiceRecord &) = default;
};

/** Settings of a team that submits jobs. */
struct TeamRecord {
    TeamName name;
    std::uint32_t quotaSlots = 0;         ///< tasks of the team that may run at once across all owners; 0 means no limit
    std::uint32_t weight = 1;             ///< share of idle capacity relative to other teams
    std::uint32_t maxQueueTasks = 20'000; ///< tasks of the team that may wait at one owner

    friend bool operator==(const TeamRecord &, const TeamRecord &) = default;
};

/** Dispatch settings that apply to all services. */
struct PolicyRecord {
    std::uint32_t agentsPerOwner = 128;   ///< number of agents that one entry handles before agents are divided between several entries
    std::uint32_t agentQueue = 1;         ///< tasks that may wait at an agent, so that it stays busy during the round trip to the owner
    std::uint32_t ejectAfterFailures = 4; ///< consecutive failures, of different jobs, after which a worker is ejected
    std::uint32_t maxEjectedPercent = 30; ///< largest share of workers that may be ejected
    Duration ejectionTime = std::chrono::seconds(5);     ///< length of the first ejection; doubles at each further one
    std::uint32_t retryBudgetPercent = 10;               ///< limit of resends of tasks that did not start, as a share of starts
    Duration answerRetention = std::chrono::minutes(10); ///< how long answers are stored, within answerBytes
    ByteCount answerBytes{48LL << 20};                   ///< bytes of answers stored at one entry

    friend bool operator==(const PolicyRecord &, const PolicyRecord &) = default;
};

/** The complete configuration of one revision. */
struct ConfigSet {
    Revision revision;  ///< zero if no configuration has been accepted yet
    ChangeId changeId;  ///< change that created this revision
    std::string author; ///< who made the change
    WallTime changedAt{};
    std::map<ServiceName, ServiceRecord> services;
    std::map<TeamName, TeamRecord> teams;
    PolicyRecord policy;

    friend bool operator==(const ConfigSet &, const ConfigSet &) = default;
};

} // namespace Sycamoremoor
