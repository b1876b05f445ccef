// Workload of the dispatch simulation: jobs with their true run times.
#pragma once

#include <sycamoremoor/core/job_type.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Sycamoremoor
{

/** What the workload is made of. */
struct WorkloadSettings {
    std::size_t jobs = 20'000;
    std::int64_t slots = 88; ///< of all workers
    double load = 0.7;       ///< offered work over what the slots can do
    std::uint64_t seed = 1;
    Duration deadline = std::chrono::seconds(30);
    std::size_t teams = 1;
    bool exactDeclarations = false; ///< declared run times are true
};

/** A job of the workload. */
struct WorkloadJob {
    JobSpecPointer spec;
    MonotonicTime arrival;
    std::vector<Duration> runTimes; ///< true, by task

    [[nodiscard]] Duration work() const;
    [[nodiscard]] Duration longest() const;
};

/** Makes a workload; equal settings give equal jobs. */
std::vector<WorkloadJob> makeWorkload(const WorkloadSettings &settings);

} // namespace Sycamoremoor
