// Account queries and audit records: what ran, and what was changed.
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

/** Which submissions to tell of; every field that is set must match. */
struct AccountQuery {
    std::optional<SubmissionKey> key;
    std::optional<TeamName> team;
    std::optional<WallTime> since;
    std::optional<WallTime> until;
    std::optional<RunState> ran; ///< submissions with this outcome
    std::uint32_t limit = 1'000; ///< newest first
};

/** One submission as its owner remembers it. */
struct SubmissionAccount {
    SubmissionKey key;
    ServiceName service;
    TeamName team;
    JobState state = JobState::Queued;
    ErrorKind error = ErrorKind::None;
    RunState ran = RunState::NotRun;
    WallTime receivedAt{};
    WallTime answeredAt{};            ///< epoch until answered
    std::uint32_t timesSubmitted = 1; ///< resubmissions included
    std::uint32_t timesAnswered = 0;  ///< callers that were sent the answer
    std::vector<TaskAccount> tasks;
};

/** One entry's share of an account. */
struct AccountReply {
    EntryName entry;
    Incarnation incarnation;
    WallTime coversFrom{};      ///< what this process took before is not known to it
    std::uint64_t released = 0; ///< submissions that were let go to stay within memory
    std::vector<SubmissionAccount> submissions;
};

/** What kind of change an audit record tells of. */
enum class AuditKind {
    ConfigInForce, ///< a revision came into force here
    RosterChange,  ///< the roster was changed, or a changed one was learned
    Drain,         ///< a process began or ended a planned stop
    Ejection,      ///< a worker was set aside
    Readmission,   ///< a worker was taken back
    Takeover,      ///< an owner slot changed hands
    End,
};

/** One change that a process made or learned of. */
struct AuditRecord {
    WallTime at{};
    AuditKind kind = AuditKind::End;
    std::string actor;   ///< who or what decided
    std::string subject; ///< what was changed
    std::string reason;
    std::uint64_t before = 0; ///< revision or epoch before, zero if none
    std::uint64_t after = 0;  ///< revision or epoch after, zero if none
};

/** What a process says of itself to operators. */
struct ProcessStatus {
    std::string name;
    std::string role; ///< entry or agent
    Incarnation incarnation;
    WallTime startedAt{};
    bool draining = false;
    bool ready = false;
    Epoch rosterEpoch;
    Revision configRevision;
    WallTime configSince{};
    std::vector<OwnerSlotIndex> ownedSlots; ///< that this entry may act for now
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
        Revision configRevision; ///< in force at the agent
        WallTime configSince{};
    };
    std::vector<Worker> workers;
    std::shared_ptr<const RosterRecord> roster;
    std::vector<AuditRecord> audit; ///< recent, oldest first
};

} // namespace Sycamoremoor
