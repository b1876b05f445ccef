// Messages between entries and agents.
#pragma once

#include <sycamoremoor/core/config_type.h>
#include <sycamoremoor/core/job_type.h>
#include <sycamoremoor/core/roster_type.h>
#include <sycamoremoor/core/task_type.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace Sycamoremoor
{

/**
 * Reading of an agent's monotonic clock in microseconds. An entry sends back the newest one that it has received,
 * so that the agent can compute the age of a message.
 */
using AgentStamp = StrongType<struct AgentStampTag, std::int64_t>;

/** An owner's claim to an owner slot: who sends a message, and the fencing token of the slot. */
struct OwnerClaim {
    EntryName owner;
    Incarnation incarnation;
    OwnerSlotIndex slot;
    Epoch token; ///< fencing token of the slot; an agent refuses starts with a token lower than the highest it has seen for the slot

    friend bool operator==(const OwnerClaim &, const OwnerClaim &) = default;
};

/** Total resources of a worker. */
struct WorkerCapacity {
    Slots slots{8};
    Connections connections{64};
    MilliCores cores{30'000};
    Megabytes memory{130'000};
    Accelerators accelerators{0};

    friend bool operator==(const WorkerCapacity &, const WorkerCapacity &) = default;
};

/** Resources in use as a worker reports them; lags behind the actual usage. */
struct WorkerUsage {
    MilliCores cores{0};
    Megabytes memory{0};

    friend bool operator==(const WorkerUsage &, const WorkerUsage &) = default;
};

/** Sent by an agent to its assigned entry once a heartbeat interval. Answered by AgentHeartbeatReply. */
struct AgentHeartbeat {
    AgentName agent;
    Incarnation incarnation;
    bool brief = false;   ///< the receiver has the agent's static description; the fields startedAt to capacity are omitted
    WallTime startedAt{}; ///< start time of this incarnation, whose ledger was empty then
    Endpoint endpoint;    ///< address at which entries reach the agent
    ZoneName zone;
    RegionName region;
    ServiceName service; ///< service that the upstream runs
    Endpoint upstream;
    WorkerCapacity capacity;
    WorkerUsage usage;
    AgentStamp stamp;                       ///< the agent's clock when the heartbeat is sent
    Epoch rosterEpoch;                      ///< epoch of the agent's roster; zero if it has none
    Revision configRevision;                ///< revision in force at the agent
    WallTime configSince{};                 ///< time since which that revision is in force
    bool leaving = false;                   ///< the agent or its upstream is shutting down and accepts no new tasks
    bool upstreamHealthy = true;            ///< the upstream answers its health check
    std::uint32_t queued = 0;               ///< tasks of all owners that wait for a slot
    std::uint32_t running = 0;              ///< tasks of all owners that were passed to the upstream and have not ended
    Incarnation receiver;                   ///< incarnation of the entry to which the next two fields apply; zero if not known
    std::uint32_t heldForOwner = 0;         ///< tasks accepted for the receiver that have not ended
    std::vector<TaskReport> unacknowledged; ///< reports the receiver did not acknowledge in time, oldest first; limited in size
};

/** Sent by an entry to an agent in answer to a heartbeat. */
struct AgentHeartbeatReply {
    EntryName entry;
    Incarnation incarnation;
    bool needsDescription = false; ///< the entry lacks the description of this agent incarnation; the next heartbeat must not be brief
    Duration interval{};           ///< time until the next heartbeat; zero for the interval of the agent's settings
    bool assigned = true;          ///< false if by the roster the agent is not assigned to this entry, or the entry can't act now
    std::shared_ptr<const RosterRecord> roster; ///< set if newer than the agent's
    Revision configUnchanged; ///< if set: newer revision whose content for this agent equals the configuration in force there
    std::shared_ptr<const ConfigSet> config; ///< set if newer than the agent's; only its service and the policy
    Epoch rosterEpoch;                       ///< epoch of the entry's roster
    ReportSequence acknowledged;             ///< all reports of this agent to this entry up to this sequence number arrived
};

/** A task to start, with the data that the agent needs to accept or refuse it. */
struct StartTask {
    TaskId task;
    TaskSpec spec;
    std::uint64_t digest = 0; ///< digest of the job's body; returned in reports, so that a new owner can tell which body ran
    Duration deadline{};      ///< time left when the message was sent; the task must not be started after it

    friend bool operator==(const StartTask &, const StartTask &) = default;
};

/** Sent by an entry to an agent to start tasks. Answered by TaskReports when they end, singly or together. */
struct StartTasks {
    OwnerClaim claim;
    AgentName agent;
    Incarnation agentIncarnation; ///< incarnation of the agent that the message is for
    AgentStamp stamp; ///< newest stamp that the entry has received from the agent; a start that arrives too long after it is refused
    ReportSequence acknowledged; ///< all reports of this agent to this owner up to this sequence number arrived
    std::vector<StartTask> tasks;
};

/** Sent by an entry to an agent to stop tasks that run, and to never start those that do not. Answered by TaskReports. */
struct StopTasks {
    OwnerClaim claim;
    AgentName agent;
    Incarnation agentIncarnation;
    ErrorKind reason = ErrorKind::Cancelled;
    std::vector<TaskId> tasks;
};

/**
 * Sent by an entry to an agent to query the state of tasks. Unknown tasks are tombstoned, so that a late start is refused.
 * Answered by TaskReports.
 */
struct QueryTasks {
    OwnerClaim claim;
    AgentName agent;
    Incarnation agentIncarnation;
    std::vector<TaskId> tasks;
};

/** Sent by an agent to an owner: the state of tasks. */
struct TaskReports {
    AgentName agent;
    Incarnation incarnation;
    Incarnation owner;         ///< incarnation of the owner that the sequence numbers belong to; another incarnation must ignore them
    std::uint32_t queued = 0;  ///< number of tasks that wait for a slot at the agent
    std::uint32_t running = 0; ///< number of tasks that run there
    std::vector<TaskReport> reports;
};

/**
 * Sent by an agent to the new owner of a slot: all ledger records of the slot's submissions.
 * After sending it the agent refuses starts with a lower token. Repeated until acknowledged by LedgerReportReply.
 */
struct LedgerReport {
    AgentName agent;
    Incarnation incarnation;
    WallTime startedAt{}; ///< the ledger has no records from before this time
    OwnerSlotIndex slot;
    Epoch token;             ///< fencing token of the new owner
    std::uint32_t part = 0;  ///< index of this part, from 0
    std::uint32_t parts = 1; ///< number of messages that make up the report
    std::vector<TaskReport> entries;
};

/** Sent by an entry to an agent: acknowledges a part of a ledger report. */
struct LedgerReportReply {
    OwnerSlotIndex slot;
    Epoch token;
    std::uint32_t part = 0;
};

using ToAgentMessage = std::variant<StartTasks, StopTasks, QueryTasks>;

} // namespace Sycamoremoor
