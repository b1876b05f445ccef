// Inputs of an agent's state machine.
#pragma once

#include <sycamoremoor/core/agent_message_type.h>
#include <sycamoremoor/core/entry_input_type.h>

#include <variant>

namespace Sycamoremoor
{

/** An entry's request to start tasks. Their reports are sent by ReportToOwner. */
struct StartTasksReceived {
    StartTasks message;
};

/** An entry's request to stop tasks. */
struct StopTasksReceived {
    StopTasks message;
};

/** An entry's query for the state of tasks. */
struct QueryTasksReceived {
    QueryTasks message;
};

/** An entry answered this agent's heartbeat. */
struct HeartbeatReplyReceived {
    AgentHeartbeatReply reply;
};

/** An entry did not answer this agent's heartbeat. */
struct HeartbeatFailed {
    Endpoint entry;
};

/** An entry acknowledged a part of this agent's ledger report. */
struct LedgerReplyReceived {
    LedgerReportReply reply;
};

/** Reports to an owner failed, or their delivery is uncertain. They stay unacknowledged. */
struct ReportsFailed {
    EntryName owner;
};

/** The upstream answered a start: the task ended there. */
struct UpstreamTaskEnded {
    TaskId task;
    bool succeeded = false;
    bool stopped = false; ///< it ended because of a stop request
    std::string result;   ///< result of the task, or the error message if it failed
};

/** The exchange that started a task on the upstream failed before the answer arrived. */
struct UpstreamStartFailed {
    TaskId task;
    Delivery delivery = Delivery::Unknown;
};

/** The upstream's answer to QueryUpstream. */
struct UpstreamTaskState {
    TaskId task;
    bool known = false; ///< whether the upstream has a record of the task
    bool running = false;
    bool succeeded = false;
    std::string result;
    Incarnation upstream; ///< incarnation of the upstream that answered
};

/** The upstream answered its health check. */
struct UpstreamHealth {
    Incarnation upstream; ///< incarnation of the upstream
    bool leaving = false; ///< it is shutting down and accepts no new tasks
    WorkerUsage usage;
};

/** The upstream's health check failed. */
struct UpstreamUnreachable {
    Delivery delivery = Delivery::Unknown;
};

/** An operator's request for this agent's own status. Answered once by AnswerProcessStatus. */
struct AgentStatusRequested {
    ConnectionId connection;
};

using AgentInput = std::variant<Tick,
                                StartTasksReceived,
                                StopTasksReceived,
                                QueryTasksReceived,
                                HeartbeatReplyReceived,
                                HeartbeatFailed,
                                LedgerReplyReceived,
                                ReportsFailed,
                                UpstreamTaskEnded,
                                UpstreamStartFailed,
                                UpstreamTaskState,
                                UpstreamHealth,
                                UpstreamUnreachable,
                                AgentStatusRequested,
                                DrainRequested>;

} // namespace Sycamoremoor
