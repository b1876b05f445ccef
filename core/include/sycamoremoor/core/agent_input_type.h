// Everything that can happen to an agent.
#pragma once

#include <sycamoremoor/core/agent_message_type.h>
#include <sycamoremoor/core/entry_input_type.h>

#include <variant>

namespace Sycamoremoor
{

/** An entry starts tasks. Their reports go out as ReportToOwner. */
struct StartTasksReceived {
    StartTasks message;
};

/** An entry stops tasks. */
struct StopTasksReceived {
    StopTasks message;
};

/** An entry asks about tasks. */
struct QueryTasksReceived {
    QueryTasks message;
};

/** An entry answered our heartbeat. */
struct HeartbeatReplyReceived {
    AgentHeartbeatReply reply;
};

/** An entry did not answer our heartbeat. */
struct HeartbeatFailed {
    Endpoint entry;
};

/** An entry took a part of our ledger report. */
struct LedgerReplyReceived {
    LedgerReportReply reply;
};

/** Reports could not be delivered to their owner, or may not have been. They stay unacknowledged. */
struct ReportsFailed {
    EntryName owner;
};

/** The upstream answered a start: the task ended there. */
struct UpstreamTaskEnded {
    TaskId task;
    bool succeeded = false;
    bool stopped = false; ///< it ended because it was told to stop
    std::string result;   ///< or the message of the failure
};

/** The exchange with the upstream broke before the answer. */
struct UpstreamStartFailed {
    TaskId task;
    Delivery delivery = Delivery::Unknown;
};

/** What the upstream says of a task that was asked about. */
struct UpstreamTaskState {
    TaskId task;
    bool known = false; ///< the upstream has seen it
    bool running = false;
    bool succeeded = false;
    std::string result;
    Incarnation upstream; ///< life of the upstream that answered
};

/** The upstream's health check was answered. */
struct UpstreamHealth {
    Incarnation upstream; ///< life of the upstream
    bool leaving = false; ///< it asks for no new work
    WorkerUsage usage;
};

/** The upstream's health check failed. */
struct UpstreamUnreachable {
    Delivery delivery = Delivery::Unknown;
};

/** An operator asks for this agent's own state. Answered once by AnswerProcessStatus. */
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
