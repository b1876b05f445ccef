// What callers may ask for at most.
#pragma once

#include <sycamoremoor/core/time_type.h>
#include <sycamoremoor/core/unit_type.h>

#include <cstddef>

namespace Sycamoremoor
{

/** Limits of what a caller may send. */
struct CallerLimits {
    std::size_t bodyBytes = std::size_t{8} << 20U;
    std::size_t payloadBytes = std::size_t{1} << 20U; ///< of one task
    std::size_t nameBytes = 128;                      ///< of a service, team or task kind
    std::size_t tasks = 1'000;                        ///< of one job
    MilliCores cores{1'024'000};                      ///< of one task
    Megabytes memory{16LL << 20U};                    ///< of one task
    Accelerators accelerators{64};                    ///< of one task
    Duration runTime = std::chrono::hours(1);         ///< of one task
    Duration deadline = std::chrono::hours(1);
};

} // namespace Sycamoremoor
