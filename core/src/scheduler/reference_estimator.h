// Run times that a scheduler expects on a usual worker, without bias for any declaration.
#pragma once

#include <sycamoremoor/core/queue_type.h>
#include <sycamoremoor/core/time_type.h>

#include <cstdint>
#include <map>

namespace Sycamoremoor
{

/**
 * Estimates run times by a linear regression of their logarithms on those of the declarations, for each queue.
 *
 * Which tasks go to slow workers depends on their expected run times, and so on the errors of the declarations: tasks that are declared
 * too short would go there, and make slow workers look even slower. The mean error of a regression is zero for every declaration.
 */
class ReferenceEstimator
{
public:
    /** Learns from a task of a job; one task of each step, as the tasks of a step run for about the same time. */
    void learn(const QueueName &queue, Duration declared, Duration observed);

    /** Returns the run time that is expected of a task; zero while too few jobs were observed. */
    [[nodiscard]] Duration reference(const QueueName &queue, Duration declared) const;

private:
    /** Moving moments of the logarithms of declaration and run time. */
    struct Moments {
        double declared = 0; ///< mean
        double observed = 0; ///< mean
        double variance = 0; ///< of the declarations
        double covariance = 0;
        std::uint32_t samples = 0;
    };

    std::map<QueueName, Moments> m_queues;
};

} // namespace Sycamoremoor
