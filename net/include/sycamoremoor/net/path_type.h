// Paths of the HTTP interfaces.
#pragma once

#include <string_view>

namespace Sycamoremoor::Path
{

inline constexpr std::string_view Jobs = "/v1/jobs";
inline constexpr std::string_view Requests = "/v1/requests";
inline constexpr std::string_view Account = "/v1/account";
inline constexpr std::string_view Status = "/v1/status";
inline constexpr std::string_view Metrics = "/metrics";
inline constexpr std::string_view Health = "/healthz";
inline constexpr std::string_view Ready = "/readyz";

inline constexpr std::string_view StartTasks = "/internal/v1/start-tasks";
inline constexpr std::string_view StopTasks = "/internal/v1/stop-tasks";
inline constexpr std::string_view QueryTasks = "/internal/v1/query-tasks";
inline constexpr std::string_view AgentHeartbeat = "/internal/v1/agent-heartbeat";
inline constexpr std::string_view TaskReports = "/internal/v1/task-reports";
inline constexpr std::string_view LedgerReport = "/internal/v1/ledger-report";
inline constexpr std::string_view PeerHeartbeat = "/internal/v1/peer-heartbeat";
inline constexpr std::string_view ForwardJob = "/internal/v1/forward-job";
inline constexpr std::string_view ForwardCancel = "/internal/v1/forward-cancel";
inline constexpr std::string_view ForwardQuery = "/internal/v1/forward-query";
inline constexpr std::string_view OwnerQuery = "/internal/v1/owner-query";
inline constexpr std::string_view Handover = "/internal/v1/handover";
inline constexpr std::string_view StartBatch = "/internal/v1/start-batch";
inline constexpr std::string_view RenewBatches = "/internal/v1/renew-batches";
inline constexpr std::string_view RecallBatch = "/internal/v1/recall-batch";
inline constexpr std::string_view CancelJobs = "/internal/v1/cancel-jobs";
inline constexpr std::string_view WatchRoom = "/internal/v1/watch-room";

/** Of the upstream's own interface. */
inline constexpr std::string_view UpstreamTasks = "/v1/tasks";
inline constexpr std::string_view UpstreamHealth = "/v1/health";

} // namespace Sycamoremoor::Path
