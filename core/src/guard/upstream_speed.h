// How fast an upstream runs its tasks.
#pragma once

#include <sycamoremoor/core/guard_message_type.h>

#include <cstddef>
#include <deque>
#include <span>
#include <vector>

namespace Sycamoremoor
{

/**
 * Measures the run times at one upstream relative to those that the schedulers expected.
 *
 * The load that it answers: upstreams of lasting unequal speed, run times that spread by a factor of 1.5 around the expected ones, and
 * a few percent of tasks that take many times as long. It takes the mean of the middle half of the logarithms of the ratios, which
 * stragglers hardly move, over the last seconds. When the newest runs differ from the earlier ones by more than chance explains, the
 * earlier ones are dropped, so a change of speed shows at once and a constant speed is still measured on many runs.
 */
class UpstreamSpeed
{
public:
    /** Records a run that ended as done. @param reference the run time expected on a worker of usual speed */
    void runEnded(MonotonicTime now, Duration runTime, Duration reference);

    /** Returns the typical ratio of run time to reference; zero while too few runs were measured. */
    [[nodiscard]] RunTimeRatio ratio() const;

    /** Returns the standard error of the logarithm of ratio(), in thousandths; zero while there is none. */
    [[nodiscard]] RunTimeRatio error() const;

private:
    struct Sample {
        MonotonicTime at;
        double logarithm = 0; ///< of the ratio
    };

    /** Center and spread of some logarithms. */
    struct Summary {
        double center = 0;
        double spread = 0; ///< standard deviation, estimated by the quartiles
        double error = 0;  ///< standard error of the center
    };

    [[nodiscard]] static Summary summaryOf(std::vector<double> logarithms);
    [[nodiscard]] std::vector<double> logarithms(std::size_t from, std::size_t until) const;
    void dropOld(MonotonicTime now);
    /** Drops the runs before a change of speed, if there was one. */
    void dropBeforeChange();

    std::deque<Sample> m_samples; ///< in order of time
    MonotonicTime m_updatedAt;
    RunTimeRatio m_ratio;
    RunTimeRatio m_error;
};

} // namespace Sycamoremoor
