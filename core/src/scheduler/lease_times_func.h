// The lease of a batch at its guard, and when it is renewed.
#pragma once

#include <sycamoremoor/core/time_type.h>

namespace Sycamoremoor
{

/** Times of the leases of batches. */
struct LeaseTimes {
    Duration lease;         ///< of a batch without renewal
    Duration renewInterval; ///< of the batches at one guard
    Duration minRenewAge;   ///< of a batch
};

inline constexpr Duration StopTime = std::chrono::milliseconds(200);        ///< in which a run ends after its lease has ended
inline constexpr Duration RenewalDelivery = std::chrono::milliseconds(100); ///< in which a renewal reaches its guard

/** Returns leases that end in time for callers who submit a job again after @p resubmitAfter. */
constexpr LeaseTimes leaseTimesOf(Duration resubmitAfter)
{
    const auto lease = resubmitAfter - StopTime;
    // The first renewal leaves by the age minRenewAge + renewInterval. If it is lost, the next precedes the end of the lease.
    const auto minRenewAge = (lease - RenewalDelivery) / 5;
    return {lease, 2 * minRenewAge, minRenewAge};
}

} // namespace Sycamoremoor
