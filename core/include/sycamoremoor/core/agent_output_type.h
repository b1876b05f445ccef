// Outputs of an agent's state machine: the actions that its driver carries out.
#pragma once

#include <sycamoremoor/core/account_type.h>
#include <sycamoremoor/core/agent_message_type.h>
#include <sycamoremoor/core/entry_output_type.h>
#include <sycamoremoor/core/step_type.h>

#include <variant>
#include <vector>

namespace Sycamoremoor
{

/** Send a heartbeat to an entry. Answered by HeartbeatReplyReceived or HeartbeatFailed. */
struct SendHeartbeat {
    Endpoint entry;
    AgentHeartbeat heartbeat;
};

/** Send a part of the ledger to a new owner. Answered by LedgerReplyReceived; the machine repeats it if there is no answer. */
struct SendLedgerReport {
    Endpoint entry;
    LedgerReport report;
};

/**
 * Send reports to an owner. The driver uses the open exchange of the start, query or stop request if there is one,
 * and otherwise opens a new one to the endpoint.
 */
struct ReportToOwner {
    EntryName owner;
    Endpoint entry; ///< port 0 if the owner's address is not known
    TaskReports reports;
};

/** Start a task on the upstream. Answered by UpstreamTaskEnded or UpstreamStartFailed. */
struct StartOnUpstream {
    TaskId task;
    TaskSpec spec;
};

/** Request the upstream to stop a task. The answer to the task's start follows. */
struct StopOnUpstream {
    TaskId task;
};

/** Query the upstream for the state of a task. Answered by UpstreamTaskState or UpstreamUnreachable. */
struct QueryUpstream {
    TaskId task;
};

/** Check the upstream's health. Answered by UpstreamHealth or UpstreamUnreachable. */
struct ProbeUpstream {
};

using AgentOutput = std::variant<SendHeartbeat,
                                 SendLedgerReport,
                                 ReportToOwner,
                                 StartOnUpstream,
                                 StopOnUpstream,
                                 QueryUpstream,
                                 ProbeUpstream,
                                 AnswerProcessStatus,
                                 SetTimer,
                                 LogLine,
                                 AuditRecord,
                                 Observation,
                                 Count,
                                 Stopped>;

using AgentOutputs = std::vector<AgentOutput>;

} // namespace Sycamoremoor
