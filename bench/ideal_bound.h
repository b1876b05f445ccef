// The ideal response times that measured ones are held against; defined in docs/MEASURES.md.
#pragma once

#include "simulation_workload.h"

#include <cstdint>
#include <vector>

namespace Sycamoremoor
{

/**
 * Returns the ideal time from arrival to end of each job, without caller hops.
 *
 * The slots are pooled into one server that may be interrupted and gives itself to the job with the least remaining work.
 * A job ends no sooner than its longest task takes.
 */
std::vector<Duration> idealResponses(const std::vector<WorkloadJob> &jobs, std::int64_t slots);

} // namespace Sycamoremoor
