// The dispatcher's record of a worker.
#pragma once

#include "resource_amount.h"

#include <sycamoremoor/core/dispatcher.h>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>

namespace Sycamoremoor
{

/** Recent failures and ejections of a worker. */
struct WorkerHealth {
    std::uint32_t failures = 0;  ///< consecutive failures of different jobs
    SubmissionKey lastFailed;    ///< job of the last counted failure
    std::uint32_t ejections = 0; ///< ejections since its slots were last unlimited
    std::optional<MonotonicTime> ejectedUntil;
};

/** A worker and the resources of the tasks placed on it. */
struct Worker {
    WorkerState state;
    ResourceAmount used;          ///< by tasks placed in the present incarnation of its agent
    std::uint64_t generation = 0; ///< incremented on each new incarnation of its agent
    std::uint32_t tasks = 0;      ///< placed and not ended, including those of earlier incarnations
    bool inPool = false;          ///< false after its removal; the record is retained until its tasks have ended
    bool ownZone = false;
    bool reserved = false;  ///< kept free for a job whose next task has fitted no worker for long
    double coresRatio = 1;  ///< cores in use over cores declared, at least 1
    double memoryRatio = 1; ///< memory in use over memory declared, at least 1
    WorkerHealth health;
    std::int64_t slotLimit = std::numeric_limits<std::int64_t>::max(); ///< maximum slots to use; lower after failures
    std::size_t position = 0;                                          ///< in the tree of free capacity
    std::size_t capacityPosition = 0;                                  ///< in the tree of capacities
    std::int64_t countedSlots = 0;                                     ///< slots counted in the pool's sum
};

/** Returns the free capacity of @p worker, with no slots if it accepts no tasks. Ignores a reservation. */
ResourceAmount freeCapacity(const Worker &worker);

/** Updates the usage ratios from the usage that the worker's agent reports. */
void updateUsageRatios(Worker &worker);

} // namespace Sycamoremoor
