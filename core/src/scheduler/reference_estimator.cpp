// Run times that a scheduler expects on a usual worker, without bias for any declaration.
#include "reference_estimator.h"

#include <algorithm>
#include <cmath>

namespace Sycamoremoor
{

namespace
{

constexpr std::uint32_t MinSamples = 12; ///< jobs before there is a reference: fewer give no slope
constexpr double MinWeight = 0.01;       ///< of a new job in the moving moments: a slope from 100 jobs is off by a tenth
constexpr double MinVariance = 1e-6;     ///< of the declarations: below it they are equal and there is no slope
constexpr std::size_t MaxQueues = 2'000; ///< limit on memory; more queues than that are not configured

double logOf(Duration duration)
{
    return std::log(static_cast<double>(std::max<std::int64_t>(1, duration.count())));
}

} // namespace

void ReferenceEstimator::learn(const QueueName &queue, Duration declared, Duration observed)
{
    if (m_queues.size() >= MaxQueues && !m_queues.contains(queue)) {
        m_queues.clear();
    }
    auto &moments = m_queues[queue];
    const auto weight = std::max(MinWeight, 1.0 / ++moments.samples);
    const auto declaredError = logOf(declared) - moments.declared;
    const auto observedError = logOf(observed) - moments.observed;
    moments.declared += weight * declaredError;
    moments.observed += weight * observedError;
    moments.variance = (1 - weight) * (moments.variance + weight * declaredError * declaredError);
    moments.covariance = (1 - weight) * (moments.covariance + weight * declaredError * observedError);
}

Duration ReferenceEstimator::reference(const QueueName &queue, Duration declared) const
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end() || found->second.samples < MinSamples) {
        return Duration::zero();
    }
    const auto &moments = found->second;
    const auto slope = moments.variance < MinVariance ? 0 : std::clamp(moments.covariance / moments.variance, 0.0, 1.0);
    return Duration(static_cast<std::int64_t>(std::exp(moments.observed + slope * (logOf(declared) - moments.declared))));
}

} // namespace Sycamoremoor
