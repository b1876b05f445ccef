// Drives the dispatcher alone by a virtual clock, with workers that run tasks and a fixed round trip.
#pragma once

#include "simulation_workload.h"

#include <sycamoremoor/core/dispatcher.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace Sycamoremoor
{

/** What is simulated. */
struct SimulationSettings {
    std::size_t workers = 11;
    std::int64_t slots = 8; ///< per worker
    std::size_t zones = 4;
    Duration oneWay{500}; ///< from dispatcher to worker and back, in other zones
    Duration oneWayOwnZone{100};
    ConfigSet config;
    DispatcherHooks hooks;
    bool admission = true;                                                  ///< ask admit() for each job
    std::function<PlacementEnd::Kind(std::size_t, const TaskId &)> outcome; ///< how a task ends on a worker; unset: succeeds
};

/** How one job came out. */
struct JobOutcome {
    ErrorKind error = ErrorKind::None;
    Duration response{};   ///< from arrival to the last report
    Duration retryAfter{}; ///< told with a refusal
    MonotonicTime endedAt;
};

/** How a run came out. */
struct SimulationResult {
    std::vector<JobOutcome> jobs;
    std::uint64_t placements = 0;
    std::uint64_t failedTasks = 0;
    std::uint64_t wastedWork = 0; ///< microseconds run for jobs that did not complete
    std::uint64_t usefulWork = 0; ///< microseconds run for jobs that completed
    std::uint32_t ejections = 0;
    std::uint32_t mostQueued = 0; ///< tasks that waited at the dispatcher at once
};

/** Runs a workload through a dispatcher. Equal arguments give equal results. */
SimulationResult simulate(const SimulationSettings &settings, const std::vector<WorkloadJob> &workload);

} // namespace Sycamoremoor
