// Estimates which queues caused a number of crashes.
#pragma once

#include <cstddef>
#include <vector>

namespace Sycamoremoor
{

/** Likelihood of one crash for each queue, as a ratio to its likelihood if no queue caused it. */
using CrashLikelihoods = std::vector<double>;

/** What is estimated about the queues. */
struct CrashCauses {
    std::vector<double> crashes; ///< expected number of crashes that each queue caused
    double logLikelihood = 0;    ///< of all crashes, relative to that without any cause in a queue
};

/**
 * Estimates the causes of crashes by expectation maximization: each crash was caused by a run of one of the queues, or by none.
 * @param without queue that is assumed to have caused none, or the number of queues
 */
CrashCauses estimateCauses(const std::vector<CrashLikelihoods> &crashes, std::size_t queues, std::size_t without);

} // namespace Sycamoremoor
