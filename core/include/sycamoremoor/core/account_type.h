// Account queries, audit records and process status for operators.
#pragma once

#include <sycamoremoor/core/job_type.h>
#include <sycamoremoor/core/roster_type.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Sycamoremoor
{

/** Filter of an account query. A submission is returned if it matches every field that is set. */
struct AccountQuery {
    std::optional<SubmissionKey> key;
    std::optional<TeamName> team;
    std::optional<WallTime> since;
    std::optional<WallTime> until;
    std::optional<RunState> ran; ///< whether the tasks were started
    std::uint32_t limit = 1'000; ///< maximum number of submissions; the newest are returned
};

/** State and history of one submission as its owner has stored them. */
struct SubmissionAccount {
    SubmissionKey key;
    ServiceName service;
    TeamName team;
    JobState state = JobState::Queued;
    ErrorKind error = ErrorKind::None;
    RunState ran = RunState::NotRun;
    WallTime receivedAt{};
    WallTime answeredAt{};            ///< epoch until answered
    std::uint32_t timesSubmitted = 1; ///< including resubmissions
    std::uint32_t timesAnswered = 0;  ///< number of callers that the answer was sent to
    std::vector<TaskAccount> tasks;
};

/** Answer of one entry to an account query. Each entry answers for its own submissions. */
struct AccountReply {
    EntryName entry;
    Incarnation incarnation;
    WallTime coversFrom{};      ///< the process has no record of submissions received before
    std::uint64_t released = 0; ///< number of submissions dropped to stay within the memory limit
    std::vector<SubmissionAccount> submissions;
};

/** Kind of change that an audit record describes. */
enum class AuditKind {
    ConfigInForce, ///< a revision of the configuration came into force in this process
    RosterChange,  ///< this process changed the roster, or received a changed one
    Drain,         ///< a planned stop of a process began or ended
    Ejection,      ///< a worker was ejected
    Readmission,   ///< a worker was readmitted
    Takeover,      ///< an owner slot moved to another entry
    End,
};

/** One change that a process made or was notified of. */
struct AuditRecord {
    WallTime at{};
    AuditKind kind = AuditKind::End;
    std::string actor;   ///< person or component that made the change
    std::string subject; ///< object that was changed
    std::string reason;
    std::uint64_t before = 0; ///< revision or epoch before, zero if none
    std::uint64_t after = 0;  ///< revision or epoch after, zero if none
};

/** Status of a process, for operators. */
struct ProcessStatus {
    std::string name;
    std::string role; ///< "entry" or "agent"
    Incarnation incarnation;
    WallTime startedAt{};
    bool draining = false;
    bool ready = false;
    Epoch rosterEpoch;
    Revision configRevision;
    WallTime configSince{};
    std::vector<OwnerSlotIndex> ownedSlots; ///< slots that this entry currently may act for
    std::uint32_t openJobs = 0;
    std::uint32_t queuedTasks = 0;
    std::uint32_t outstandingTasks = 0;
    struct Worker {
        AgentName agent;
        Incarnation incarnation;
        ZoneName zone;
        ServiceName service;
        bool leaving = false;
        bool ejected = false;
        bool reachable = true;
        std::uint32_t running = 0;
        Slots slots;
        Revision configRevision; ///< revision in force at the agent
        WallTime configSince{};
    };
    std::vector<Worker> workers;
    std::shared_ptr<const RosterRecord> roster;
    std::vector<AuditRecord> audit; ///< most recent records, oldest first
};

} // namespace Sycamoremoor
