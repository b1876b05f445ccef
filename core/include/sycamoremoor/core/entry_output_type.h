// Everything that an entry can ask its driver to do.
#pragma once

#include <sycamoremoor/core/account_type.h>
#include <sycamoremoor/core/agent_message_type.h>
#include <sycamoremoor/core/peer_message_type.h>
#include <sycamoremoor/core/step_type.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace Sycamoremoor
{

/** Send to an agent. The answer comes as TaskReportsReceived, a failure as AgentSendFailed. */
struct SendToAgent {
    AgentName agent;
    Endpoint endpoint;
    ToAgentMessage message;
};

/** Send to a peer. The answer comes as the input that fits the message, a failure as PeerSendFailed. */
struct SendToPeer {
    EntryName peer;
    Endpoint endpoint;
    ToPeerMessage message;
    std::optional<ConnectionId> connection; ///< the caller for whom a job, cancel or status is forwarded
};

/** The whole answer to a submission; ends the exchange. */
struct AnswerJob {
    ConnectionId connection;
    JobAnswerPointer answer;
};

/** The answer to a status request or cancel; ends the exchange. */
struct AnswerStatus {
    ConnectionId connection;
    ErrorKind error = ErrorKind::None;
    JobStatus status;
};

/** The answer to an account query; ends the exchange. */
struct AnswerAccount {
    ConnectionId connection;
    AccountReply reply;
};

/** The answer to a process status request; ends the exchange. */
struct AnswerProcessStatus {
    ConnectionId connection;
    ProcessStatus status;
};

/** The answer to an agent's heartbeat; ends the exchange. */
struct AnswerAgentHeartbeat {
    ConnectionId connection;
    AgentHeartbeatReply reply;
};

/** The answer to a ledger report; ends the exchange. */
struct AnswerLedgerReport {
    ConnectionId connection;
    LedgerReportReply reply;
};

/** The answer to a peer's heartbeat; ends the exchange. */
struct AnswerPeerHeartbeat {
    ConnectionId connection;
    PeerHeartbeatReply reply;
};

/** The answer to a new owner's query; ends the exchange. */
struct AnswerOwnerQuery {
    ConnectionId connection;
    OwnerQueryReply reply;
};

/** The answer to a handover; ends the exchange. */
struct AnswerHandover {
    ConnectionId connection;
    HandoverReply reply;
};

/** Read roster and configuration head from the platform. Answered by HeadRead or HeadReadFailed. */
struct ReadHead {
};

/** Write the roster by compare-and-swap on the store's revision of it. Answered by RosterWriteEnded. */
struct WriteRoster {
    std::shared_ptr<const RosterRecord> roster;
    std::int64_t expectedModRevision = 0; ///< zero: only if there is none
};

/** Read the configuration set of a revision. Answered by ConfigRead; if it fails the machine asks again. */
struct ReadConfig {
    Revision revision;
};

/** Read the recorded agents of a slot. Answered by SlotAgentsRead; if it fails the machine asks again. */
struct ReadSlotAgents {
    OwnerSlotIndex slot;
};

/** Record the agents of a slot by compare-and-swap. Answered by SlotAgentsWriteEnded. */
struct WriteSlotAgents {
    OwnerSlotIndex slot;
    std::vector<AgentName> agents;
    std::int64_t expectedModRevision = 0;
};

/** The planned stop is done: nothing is open and everything was handed on, or the bound passed. */
struct Stopped {
    std::uint32_t cutOff = 0; ///< submissions that the bound cut, answered as unknown
};

using EntryOutput = std::variant<SendToAgent,
                                 SendToPeer,
                                 AnswerJob,
                                 AnswerStatus,
                                 AnswerAccount,
                                 AnswerProcessStatus,
                                 AnswerAgentHeartbeat,
                                 AnswerLedgerReport,
                                 AnswerPeerHeartbeat,
                                 AnswerOwnerQuery,
                                 AnswerHandover,
                                 ReadHead,
                                 WriteRoster,
                                 ReadConfig,
                                 ReadSlotAgents,
                                 WriteSlotAgents,
                                 SetTimer,
                                 LogLine,
                                 AuditRecord,
                                 Observation,
                                 Count,
                                 Stopped>;

using EntryOutputs = std::vector<EntryOutput>;

} // namespace Sycamoremoor
