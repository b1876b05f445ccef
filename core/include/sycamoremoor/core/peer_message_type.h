// Messages between entries.
#pragma once

#include <sycamoremoor/core/config_type.h>
#include <sycamoremoor/core/job_type.h>
#include <sycamoremoor/core/roster_type.h>

#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace Sycamoremoor
{

/** Entry to entry: I am here. Answered by PeerHeartbeatReply. */
struct PeerHeartbeat {
    EntryName from;
    Incarnation incarnation;
    EntryName to;
    std::uint64_t sequence = 0; ///< handed back, so that the sender knows when it asked
    Epoch rosterEpoch;
    Revision configRevision;
};

/** Answer to PeerHeartbeat. */
struct PeerHeartbeatReply {
    EntryName from;
    Incarnation incarnation;
    std::uint64_t sequence = 0;                 ///< of the heartbeat
    Epoch rosterEpoch;                          ///< the answering entry's
    std::shared_ptr<const RosterRecord> roster; ///< set if newer than the asker's
    Revision configRevision;
    std::shared_ptr<const ConfigSet> config; ///< set if newer than the asker's
    std::vector<EntryName> silent;           ///< members that the answering entry has not heard for the failure timeout
};

/** What an owner remembers of a submission that has ended. */
struct SubmissionRecord {
    SubmissionKey key;
    std::uint64_t digest = 0;
    JobState state = JobState::Failed;
    JobAnswerPointer answer; ///< empty once released
};

/** New owner to a former owner that is still alive: do you know this submission? Answered by OwnerQueryReply. */
struct OwnerQuery {
    EntryName from;
    EntryName to;
    OwnerSlotIndex slot;
    Epoch token; ///< of the new owner; the former takes no submission of the slot from now on
    SubmissionKey key;
};

/** Answer to OwnerQuery. */
struct OwnerQueryReply {
    EntryName from;
    Incarnation incarnation;
    SubmissionKey key;
    bool known = false; ///< it has the submission, running or ended: forward callers to it
};

/** Leaving owner to the new owner of a slot: what it remembers. Answered by HandoverReply. */
struct Handover {
    EntryName from;
    Incarnation incarnation;
    EntryName to;
    OwnerSlotIndex slot;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::vector<SubmissionRecord> submissions;
};

/** The part arrived and is kept. */
struct HandoverReply {
    EntryName from;
    Incarnation incarnation;
    OwnerSlotIndex slot;
    std::uint32_t part = 0;
};

/** Entry to owner: a caller's submission. Answered by the JobAnswer. */
struct ForwardJob {
    EntryName from;
    EntryName to;
    Incarnation toIncarnation;
    Epoch rosterEpoch;
    JobSpecPointer job;
};

/** Entry to owner: a caller cancels. Answered by the job's status. */
struct ForwardCancel {
    EntryName from;
    EntryName to;
    SubmissionKey key;
};

/** Entry to owner: a caller asks for the status. Answered by the job's status. */
struct ForwardQuery {
    EntryName from;
    EntryName to;
    SubmissionKey key;
};

using ToPeerMessage = std::variant<PeerHeartbeat, OwnerQuery, Handover, ForwardJob, ForwardCancel, ForwardQuery>;

} // namespace Sycamoremoor
