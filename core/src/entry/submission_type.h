// A submission on its way through the filters.
#pragma once

#include <sycamoremoor/core/job_type.h>
#include <sycamoremoor/core/roster_type.h>

#include <optional>

namespace Sycamoremoor
{

/** A caller's or peer's submission as this entry received it. */
struct Submission {
    ConnectionId connection;
    JobSpecPointer job;
    std::optional<EntryName> forwardedBy; ///< set if a peer sent it
    Epoch forwarderEpoch;
    MonotonicTime receivedAt;
    MonotonicTime deadline;
};

} // namespace Sycamoremoor
