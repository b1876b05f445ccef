// Everything that a guard can ask its driver to do.
#pragma once

#include <sycamoremoor/core/entry_output_type.h>
#include <sycamoremoor/core/guard_input_type.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Sycamoremoor
{

using FencingToken = StrongAmount<struct FencingTokenTag, std::int64_t>; ///< the upstream obeys no order with a lower one

/** Start a run at the upstream. Answered by RunStartAnswered. */
struct StartRun {
    Endpoint upstream;
    UpstreamIncarnation incarnation;
    RunId run;
    std::string payload;
    UpstreamTime leaseUntil;
    FencingToken token;
};

/** Stop a run at the upstream, or keep it from starting. Answered by RunStopAnswered. */
struct StopRun {
    Endpoint upstream;
    UpstreamIncarnation incarnation;
    RunId run;
    FencingToken token;
};

/**
 * Renew the lease of everything that runs, acknowledge ends, and ask for the lists.
 * Answered by UpstreamListed or RenewalUnanswered.
 */
struct RenewLease {
    RenewalNumber number;
    Endpoint upstream;
    UpstreamIncarnation incarnation;
    FencingToken token;
    std::uint64_t acknowledged = 0; ///< ends up to this number are settled
    UpstreamTime leaseUntil;        ///< zero: do not renew, only look
    Duration wait{};                ///< how long the upstream may hold the answer until something ends
};

/** Tell the scheduler of a batch about one run. */
struct ReportRun {
    ConnectionId connection;
    RunReport report;
};

/** Every run of the batch was reported; end its exchange. */
struct EndBatch {
    ConnectionId connection;
};

/** Room changed: tell the schedulers. The driver sets CapacityReport::lastCountedBatch for each. */
struct CapacityChanged {
    CapacityReport report;
};

using GuardOutput
    = std::variant<StartRun, StopRun, RenewLease, ReportRun, EndBatch, CapacityChanged, SetTimer, LogLine, Observation, Count, Stopped>;

using GuardOutputs = std::vector<GuardOutput>;

} // namespace Sycamoremoor
