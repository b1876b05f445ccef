// Outputs of a guard: actions that its driver carries out.
#pragma once

#include <sycamoremoor/core/entry_output_type.h>
#include <sycamoremoor/core/guard_input_type.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Sycamoremoor
{

using FencingToken = StrongAmount<struct FencingTokenTag, std::int64_t>; ///< the upstream refuses orders with a lower one than it knows

/** Start a run at the upstream. Answered by RunStartAnswered. */
struct StartRun {
    Endpoint upstream;
    UpstreamIncarnation incarnation;
    RunId run;
    std::string payload;
    UpstreamTime leaseUntil;
    FencingToken token;
};

/** Stop a run at the upstream, or prevent its start. Answered by RunStopAnswered. */
struct StopRun {
    Endpoint upstream;
    UpstreamIncarnation incarnation;
    RunId run;
    FencingToken token;
};

/**
 * Renew the lease of all runs, acknowledge ended runs, and request the lists of running and ended runs.
 * Answered by UpstreamListed or RenewalUnanswered.
 */
struct RenewLease {
    RenewalNumber number;
    Endpoint upstream;
    UpstreamIncarnation incarnation;
    FencingToken token;
    std::uint64_t acknowledged = 0; ///< ends up to this number were received and need not be listed again
    UpstreamTime leaseUntil;        ///< zero to request the lists without renewing the lease
    Duration wait{};                ///< how long the upstream may delay the answer until a run ends (long poll)
};

/** Find out whether anything listens at the endpoint of the upstream. Answered by ListenerProbed. */
struct ProbeListener {
    Endpoint upstream;
};

/** Report the end of one run to the scheduler of its batch. */
struct ReportRun {
    ConnectionId connection;
    RunReport report;
};

/** Every run of the batch or of the recalled batch was reported; close the connection. */
struct EndBatch {
    ConnectionId connection;
};

/** The capacity report changed; send it to all schedulers. The driver sets lastCountedBatch and clock for each of them. */
struct CapacityChanged {
    CapacityReport report;
};

/** The upstream seems to have crashed, or has not as it turns out; tell all schedulers of it, and those that connect until its expiry. */
struct UpstreamCrashed {
    CrashNotice notice;
    MonotonicTime expiresAt; ///< from then on no scheduler has use for it
};

/** Cancelled jobs are refused and stopped from now on. Answer the scheduler that told so, and tell all schedulers, and those that connect soon. */
struct CancellationTaken {
    ConnectionId connection;
    std::vector<QueueJobId> jobs;
    std::vector<QueueJobId> stopped; ///< those of which there were runs
    MonotonicTime expiresAt;         ///< from then on schedulers that connect need not be told
};

using GuardOutput = std::variant<StartRun,
                                 StopRun,
                                 RenewLease,
                                 ProbeListener,
                                 ReportRun,
                                 EndBatch,
                                 CapacityChanged,
                                 UpstreamCrashed,
                                 CancellationTaken,
                                 SetTimer,
                                 LogLine,
                                 Observation,
                                 Count,
                                 Stopped>;

using GuardOutputs = std::vector<GuardOutput>;

} // namespace Sycamoremoor
