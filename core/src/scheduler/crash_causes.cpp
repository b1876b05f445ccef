// Estimates which queues caused a number of crashes.
#include "crash_causes.h"

#include <cmath>

namespace Sycamoremoor
{

namespace
{

constexpr int Iterations = 20; ///< enough for the weights of a few queues to settle

} // namespace

CrashCauses estimateCauses(const std::vector<CrashLikelihoods> &crashes, std::size_t queues, std::size_t without)
{
    const auto causes = static_cast<double>(queues - (without < queues ? 1 : 0) + 1); // one more: none of the queues
    std::vector<double> weights(queues, 1 / causes);
    if (without < queues) {
        weights[without] = 0;
    }
    double weightOfNone = 1 / causes;
    CrashCauses result;
    for (int iteration = 0; iteration < Iterations; ++iteration) {
        result.crashes.assign(queues, 0);
        result.logLikelihood = 0;
        double crashesOfNone = 0;
        for (const auto &likelihoods : crashes) {
            double all = weightOfNone;
            for (std::size_t queue = 0; queue < queues; ++queue) {
                all += weights[queue] * likelihoods[queue];
            }
            for (std::size_t queue = 0; queue < queues; ++queue) {
                result.crashes[queue] += weights[queue] * likelihoods[queue] / all;
            }
            crashesOfNone += weightOfNone / all;
            result.logLikelihood += std::log(all);
        }
        for (std::size_t queue = 0; queue < queues; ++queue) {
            weights[queue] = result.crashes[queue] / static_cast<double>(crashes.size());
        }
        weightOfNone = crashesOfNone / static_cast<double>(crashes.size());
    }
    return result;
}

} // namespace Sycamoremoor
