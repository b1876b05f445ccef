// Workers of unequal speed: how long runs take there, relative to the usual worker of the service.
#pragma once

#include <sycamoremoor/core/guard_message_type.h>

#include <vector>

namespace Sycamoremoor
{

/** Returns the usual one of the ratios that the workers of a service reported: their lower median; zero if there is none. */
[[nodiscard]] RunTimeRatio usualRatio(std::vector<RunTimeRatio> ratios);

/**
 * Returns the factor on run times at a worker, relative to the usual one of its service. It is 1 unless the worker certainly differs by
 * MinDifference or more, so that equal workers are placed on alike, whatever noise their measurements have.
 * @param usual see usualRatio()
 * @param before the factor that the worker had
 */
[[nodiscard]] double runTimeFactorOf(const CapacityReport &report, RunTimeRatio usual, double before);

/**
 * Returns the factor on the weight of a worker in the choice for a task, for the speed of the worker.
 *
 * A task that ends in time with some margin on a slow worker goes there by preference, and leaves the others to tasks that need them; a
 * task with less slack prefers the faster ones.
 * @param factor of run times there, see runTimeFactorOf()
 * @param tolerance factor on run times with which the task still ends in time
 */
[[nodiscard]] double speedPreference(double factor, double tolerance);

} // namespace Sycamoremoor
