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

/** Age of a message by the clock of the agent that will receive it: the agent's own stamp, handed back. Microseconds. */
using AgentStamp = StrongType<struct AgentStampTag, std::int64_t>;

/** Which owner speaks, and with what right. */
struct OwnerClaim {
    EntryName owner;
    Incarnation incarnation;
    OwnerSlotIndex slot;
    Epoch token; ///< of the owner slot; an agent refuses starts with a token lower than the highest it has seen for the slot

    friend bool operator==(const OwnerClaim &, const OwnerClaim &) = default;
};

/** What a worker offers. */
struct WorkerCapacity {
    Slots slots{8};
    Connections connections{64};
    MilliCores cores{30'000};
    Megabytes memory{130'000};
    Accelerators accelerators{0};

    friend bool operator==(const WorkerCapacity &, const WorkerCapacity &) = default;
};

/** What a worker says is in use; lags behind. */
struct WorkerUsage {
    MilliCores cores{0};
    Megabytes memory{0};

    friend bool operator==(const WorkerUsage &, const WorkerUsage &) = default;
};

/** Agent to home entry, once a heartbeat interval. Answered by AgentHeartbeatReply. */
struct AgentHeartbeat {
    AgentName agent;
    Incarnation incarnation;
    bool brief = false;   ///< the receiver knows what does not change; startedAt to capacity are left out
    WallTime startedAt{}; ///< when this incarnation began, with an empty ledger
    Endpoint endpoint;    ///< where entries reach the agent
    ZoneName zone;
    RegionName region;
    ServiceName service; ///< what its upstream runs
    Endpoint upstream;
    WorkerCapacity capacity;
    WorkerUsage usage;
    AgentStamp stamp;                       ///< the agent's clock now
    Epoch rosterEpoch;                      ///< of the roster it knows; zero if none
    Revision configRevision;                ///< in force at the agent
    WallTime configSince{};                 ///< since when
    bool leaving = false;                   ///< takes no new tasks
    bool upstreamHealthy = true;            ///< the upstream answers its health check
    std::uint32_t queued = 0;               ///< tasks that wait for a slot, of all owners
    std::uint32_t running = 0;              ///< tasks handed to the upstream, of all owners
    Incarnation receiver;                   ///< life of the entry that the next two fields are for; zero if not known
    std::uint32_t heldForOwner = 0;         ///< tasks of the receiver's slots that were accepted and have not ended
    std::vector<TaskReport> unacknowledged; ///< reports that the receiver did not acknowledge in time, oldest first, bounded
};

/** Entry to agent, in answer to a heartbeat. */
struct AgentHeartbeatReply {
    EntryName entry;
    Incarnation incarnation;
    bool needsDescription = false;              ///< the receiver does not know this life of the agent; the next heartbeat must not be brief
    Duration interval{};                        ///< until the next heartbeat; zero for the agent's setting
    bool assigned = true;                       ///< false if the agent should go to another entry by the roster
    std::shared_ptr<const RosterRecord> roster; ///< set if newer than the agent's
    Revision configUnchanged;                   ///< if set: what the agent has in force holds as this newer revision, too
    std::shared_ptr<const ConfigSet> config;    ///< set if newer than the agent's: its service and the policy only
    Epoch rosterEpoch;                          ///< the entry's
    ReportSequence acknowledged;                ///< every report of this agent to this entry up to here arrived
};

/** A task to start, with what the agent needs to decide. */
struct StartTask {
    TaskId task;
    TaskSpec spec;
    std::uint64_t digest = 0; ///< of the job's body; handed back in reports, so that a new owner knows which body ran
    Duration deadline{};      ///< time left when the message was sent; it must not be started later

    friend bool operator==(const StartTask &, const StartTask &) = default;
};

/** Entry to agent: start these. Answered, one by one or together, by TaskReports when they end. */
struct StartTasks {
    OwnerClaim claim;
    AgentName agent;
    Incarnation agentIncarnation; ///< the life of the agent that is meant
    AgentStamp stamp;             ///< newest stamp of the agent that the entry knows; a start that comes too long after it is refused
    ReportSequence acknowledged;  ///< every report of this agent to this owner up to here arrived
    std::vector<StartTask> tasks;
};

/** Entry to agent: stop these if they run, never start them if they do not. Answered by TaskReports. */
struct StopTasks {
    OwnerClaim claim;
    AgentName agent;
    Incarnation agentIncarnation;
    ErrorKind reason = ErrorKind::Cancelled;
    std::vector<TaskId> tasks;
};

/** Entry to agent: what of these has started? Those unknown are tombstoned, so that a late start is refused. Answered by TaskReports. */
struct QueryTasks {
    OwnerClaim claim;
    AgentName agent;
    Incarnation agentIncarnation;
    std::vector<TaskId> tasks;
};

/** Agent to owner: how tasks stand. */
struct TaskReports {
    AgentName agent;
    Incarnation incarnation;
    Incarnation owner;         ///< life of the owner that the sequence numbers count for; another life must not count them
    std::uint32_t queued = 0;  ///< tasks that wait for a slot at the agent now
    std::uint32_t running = 0; ///< tasks that run there now
    std::vector<TaskReport> reports;
};

/**
 * Agent to the new owner of a slot: everything that the agent's ledger has of the slot's submissions.
 * By sending it the agent promises to refuse starts with a lower token. Sent until acknowledged by LedgerReportReply.
 */
struct LedgerReport {
    AgentName agent;
    Incarnation incarnation;
    WallTime startedAt{}; ///< the ledger has nothing from before
    OwnerSlotIndex slot;
    Epoch token;             ///< of the new owner
    std::uint32_t part = 0;  ///< from 0
    std::uint32_t parts = 1; ///< how many messages make up the report
    std::vector<TaskReport> entries;
};

/** Entry to agent: the part arrived. */
struct LedgerReportReply {
    OwnerSlotIndex slot;
    Epoch token;
    std::uint32_t part = 0;
};

using ToAgentMessage = std::variant<StartTasks, StopTasks, QueryTasks>;

} // namespace Sycamoremoor
