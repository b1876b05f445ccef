// A worker as the dispatcher sees it.
#pragma once

#include "resource_amount.h"

#include <sycamoremoor/core/dispatcher.h>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>

namespace Sycamoremoor
{

/** How a worker's tasks ended lately. */
struct WorkerHealth {
    std::uint32_t failures = 0;  ///< in a row, of different jobs
    SubmissionKey lastFailed;    ///< job of the last failure
    std::uint32_t ejections = 0; ///< since it last ran at all its slots
    std::optional<MonotonicTime> ejectedUntil;
};

/** A worker and what is placed on it. */
struct Worker {
    WorkerState state;
    ResourceAmount used;          ///< by tasks placed in this life of the agent
    std::uint64_t generation = 0; ///< rises when the agent begins another life
    std::uint32_t tasks = 0;      ///< placed and not come back, earlier lives included
    bool inPool = false;          ///< false once it was removed; it is kept until its tasks came back
    bool ownZone = false;
    bool reserved = false;  ///< kept free for a job whose next task has waited long for room
    double coresRatio = 1;  ///< cores in use over cores declared, at least 1
    double memoryRatio = 1; ///< memory in use over memory declared, at least 1
    WorkerHealth health;
    std::int64_t slotLimit = std::numeric_limits<std::int64_t>::max(); ///< slots that it may be given at most
    std::size_t position = 0;                                          ///< in the tree of free room
    std::size_t capacityPosition = 0;                                  ///< in the tree of capacities
    std::int64_t countedSlots = 0;                                     ///< in the sum of the pool
};

/** Returns the room for another task on @p worker; no slots if it takes none. A reservation is not regarded. */
ResourceAmount freeCapacity(const Worker &worker);

/** Takes in the usage that the worker's agent reports now. */
void updateUsageRatios(Worker &worker);

} // namespace Sycamoremoor
