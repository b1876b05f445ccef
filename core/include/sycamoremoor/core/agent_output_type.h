// Everything that an agent can ask its driver to do.
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

/** Send a part of the ledger to a new owner. Answered by LedgerReplyReceived; the machine repeats it if nothing comes. */
struct SendLedgerReport {
    Endpoint entry;
    LedgerReport report;
};

/**
 * Report to an owner. The driver uses the open exchange that brought the task, a query or a stop if there is one,
 * and else opens a new one to the endpoint.
 */
struct ReportToOwner {
    EntryName owner;
    Endpoint entry; ///< port 0 if the owner's address is not known
    TaskReports reports;
};

/** Hand a task to the upstream. Answered by UpstreamTaskEnded or UpstreamStartFailed. */
struct StartOnUpstream {
    TaskId task;
    TaskSpec spec;
};

/** Tell the upstream to stop a task. The answer to its start follows. */
struct StopOnUpstream {
    TaskId task;
};

/** Ask the upstream about a task. Answered by UpstreamTaskState or UpstreamUnreachable. */
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
