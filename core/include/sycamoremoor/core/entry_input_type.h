// Everything that can happen to an entry.
#pragma once

#include <sycamoremoor/core/account_type.h>
#include <sycamoremoor/core/agent_message_type.h>
#include <sycamoremoor/core/peer_message_type.h>

#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace Sycamoremoor
{

/** Whether a message that failed may have arrived. */
enum class Delivery {
    NotSent, ///< provably not: the connection was refused or never opened
    Unknown, ///< it may have arrived
    End,
};

/** A caller, or a peer on behalf of one, submits a job. Answered once by AnswerJob. */
struct JobSubmitted {
    ConnectionId connection;
    JobSpecPointer job;
    std::optional<EntryName> forwardedBy; ///< set if a peer sent it
    Epoch forwarderEpoch;                 ///< the peer's roster
};

/** A caller or peer cancels a submission. Answered once by AnswerStatus. */
struct CancelRequested {
    ConnectionId connection;
    SubmissionKey key;
    bool forwarded = false;
};

/** A caller or peer asks how a submission stands. Answered once by AnswerStatus. */
struct StatusRequested {
    ConnectionId connection;
    SubmissionKey key;
    bool forwarded = false;
};

/** An operator asks for this entry's account. Answered once by AnswerAccount. */
struct AccountRequested {
    ConnectionId connection;
    AccountQuery query;
};

/** An operator asks for this entry's own state. Answered once by AnswerProcessStatus. */
struct ProcessStatusRequested {
    ConnectionId connection;
};

/** The other end of an exchange hung up; no answer can reach it. Its job goes on. */
struct CallerDisconnected {
    ConnectionId connection;
};

/** An agent's heartbeat. Answered once by AnswerAgentHeartbeat. */
struct AgentHeartbeatReceived {
    ConnectionId connection;
    AgentHeartbeat heartbeat;
};

/** Reports of tasks, as answer to a message or by themselves. */
struct TaskReportsReceived {
    TaskReports reports;
};

/** A part of an agent's ledger. Answered once by AnswerLedgerReport. */
struct LedgerReportReceived {
    ConnectionId connection;
    LedgerReport report;
};

/** A message to an agent failed, or its exchange ended with tasks unreported. */
struct AgentSendFailed {
    AgentName agent;
    Incarnation incarnation; ///< the life of the agent that was meant
    Delivery delivery = Delivery::Unknown;
    std::vector<TaskId> tasks; ///< those of the message that were not reported
};

/** A peer's heartbeat. Answered once by AnswerPeerHeartbeat. */
struct PeerHeartbeatReceived {
    ConnectionId connection;
    PeerHeartbeat heartbeat;
};

/** The answer to our heartbeat. */
struct PeerHeartbeatReplyReceived {
    PeerHeartbeatReply reply;
};

/** A new owner asks a former one. Answered once by AnswerOwnerQuery. */
struct OwnerQueryReceived {
    ConnectionId connection;
    OwnerQuery query;
};

/** The answer to our query. */
struct OwnerQueryReplyReceived {
    OwnerQueryReply reply;
};

/** A leaving owner hands over. Answered once by AnswerHandover. */
struct HandoverReceived {
    ConnectionId connection;
    Handover handover;
};

/** The answer to our handover. */
struct HandoverReplyReceived {
    HandoverReply reply;
};

/** The owner answered the job that we forwarded for @p connection. */
struct ForwardAnswered {
    ConnectionId connection; ///< as in the SendToPeer
    JobAnswerPointer answer;
};

/** The owner answered the cancel or status that we forwarded for @p connection. */
struct ForwardStatusAnswered {
    ConnectionId connection;
    ErrorKind error = ErrorKind::None;
    JobStatus status;
};

/** A message to a peer failed. */
struct PeerSendFailed {
    EntryName peer;
    Delivery delivery = Delivery::Unknown;
    std::optional<ConnectionId> connection; ///< of the caller whose message it was, if any
};

/** Roster and configuration head, read together from the platform by a linearizable read. */
struct HeadRead {
    MonotonicTime requestedAt;                  ///< when the read was sent
    std::shared_ptr<const RosterRecord> roster; ///< empty if none was ever written
    std::int64_t rosterModRevision = 0;         ///< the store's, zero if none
    Revision configRevision;                    ///< newest accepted, zero if none
};

/** The platform did not answer a read, or answered with an error. */
struct HeadReadFailed {
    MonotonicTime requestedAt;
};

/** How a write to the platform ended. */
enum class WriteOutcome {
    Written,  ///< it took effect
    Conflict, ///< provably without effect: another write came first
    Unknown,  ///< no answer; it may have taken effect
    End,
};

/** Our roster write ended. */
struct RosterWriteEnded {
    Epoch epoch; ///< that we tried to write
    WriteOutcome outcome = WriteOutcome::Unknown;
};

/** A configuration set was read from the platform. */
struct ConfigRead {
    std::shared_ptr<const ConfigSet> config;
};

/** Agents that may have been given tasks of a slot, as last recorded in the platform. */
struct SlotAgentsRead {
    OwnerSlotIndex slot;
    std::vector<AgentName> agents;
    std::int64_t modRevision = 0; ///< the store's, zero if none was ever written
};

/** Our write of a slot's agents ended. */
struct SlotAgentsWriteEnded {
    OwnerSlotIndex slot;
    WriteOutcome outcome = WriteOutcome::Unknown;
    std::int64_t modRevision = 0; ///< after the write, when it took effect
};

/** Stop as planned: hand on what is owned, finish what is open, then say Stopped. */
struct DrainRequested {
};

/** The time set by SetTimer came. */
struct Tick {
};

using EntryInput = std::variant<Tick,
                                JobSubmitted,
                                CancelRequested,
                                StatusRequested,
                                AccountRequested,
                                ProcessStatusRequested,
                                CallerDisconnected,
                                AgentHeartbeatReceived,
                                TaskReportsReceived,
                                LedgerReportReceived,
                                AgentSendFailed,
                                PeerHeartbeatReceived,
                                PeerHeartbeatReplyReceived,
                                OwnerQueryReceived,
                                OwnerQueryReplyReceived,
                                HandoverReceived,
                                HandoverReplyReceived,
                                ForwardAnswered,
                                ForwardStatusAnswered,
                                PeerSendFailed,
                                HeadRead,
                                HeadReadFailed,
                                RosterWriteEnded,
                                ConfigRead,
                                SlotAgentsRead,
                                SlotAgentsWriteEnded,
                                DrainRequested>;

} // namespace Sycamoremoor
