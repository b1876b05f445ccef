// JSON of the messages between processes, of the roster, and of what processes tell operators.
#pragma once

#include <sycamoremoor/core/account_type.h>
#include <sycamoremoor/core/agent_message_type.h>
#include <sycamoremoor/core/guard_message_type.h>
#include <sycamoremoor/core/peer_message_type.h>
#include <sycamoremoor/wire/decode_error_type.h>
#include <sycamoremoor/wire/status_reply_type.h>

#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace Sycamoremoor
{

/** Every message that encode() and decode() know. */
using WireMessages = std::tuple<RosterRecord,
                                ConfigSet,
                                JobAnswer,
                                JobStatus,
                                StatusReply,
                                AccountReply,
                                ProcessStatus,
                                AgentHeartbeat,
                                AgentHeartbeatReply,
                                StartTasks,
                                StopTasks,
                                QueryTasks,
                                TaskReports,
                                LedgerReport,
                                LedgerReportReply,
                                PeerHeartbeat,
                                PeerHeartbeatReply,
                                OwnerQuery,
                                OwnerQueryReply,
                                Handover,
                                HandoverReply,
                                ForwardJob,
                                ForwardCancel,
                                ForwardQuery,
                                StartBatch,
                                BatchRenewal,
                                BatchRecall,
                                RunReport,
                                CapacityReport,
                                CrashNotice,
                                JobCancellation,
                                JobCancellationReply,
                                AgentRecord>;

/**
 * Returns @p message as one line of JSON, without a line break.
 * Durations and times are whole microseconds, times since the Unix epoch.
 */
template<typename Message>
std::string encode(const Message &message);

/**
 * Reads @p message from JSON. Fields that this version does not know are passed over.
 * @param json text from anywhere; no text makes it throw
 * @param message unspecified after an error
 * @return why @p json is no such message, or nothing
 */
template<typename Message>
std::optional<DecodeError> decode(std::string_view json, Message &message);

} // namespace Sycamoremoor
