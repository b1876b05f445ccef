// Moving estimates of run times. They use logarithms, since run times vary by factors.
#include "dispatch/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace Sycamoremoor
{

namespace
{

constexpr std::size_t MaxKinds = 2'000;
constexpr double MinWeight = 0.02;      ///< minimum weight of a new observation in the moving mean
constexpr double DeclarationWeight = 3; ///< number of observations that weigh as much as the declaration
constexpr std::uint32_t MinSamplesForLowerBound = 20;
constexpr double LowerBoundDeviations = 3; ///< distance of the lower bound from the mean, in standard deviations
constexpr double MaxVariance = 4;

double logOf(Duration duration)
{
    return std::log(static_cast<double>(std::max<std::int64_t>(1, duration.count())));
}

Duration durationOf(double logarithm)
{
    return Duration(static_cast<std::int64_t>(std::exp(logarithm)));
}

} // namespace

void RunTimeEstimator::Predictor::learn(double value, double weight)
{
    const auto error = value - mean;
    mean += weight * error;
    variance = (1 - weight) * (variance + weight * error * error);
}

void RunTimeEstimator::learn(const ServiceName &service, const TaskKind &kind, Duration declared, Duration observed)
{
    auto &entry = touch(nameOf(service, kind));
    ++entry.samples;
    const auto weight = std::max(MinWeight, 1.0 / entry.samples);
    entry.runTime.learn(logOf(observed), weight);
    entry.ratio.learn(logOf(observed) - logOf(declared), weight);
}

Duration RunTimeEstimator::expected(const ServiceName &service, const TaskKind &kind, Duration declared) const
{
    const auto [mean, variance, samples] = forecast(service, kind, declared);
    if (samples == 0) {
        return declared;
    }
    const auto learned = mean + std::min(variance, MaxVariance) / 2;
    if (declared <= Duration::zero()) {
        return durationOf(learned);
    }
    const auto learnedWeight = samples / (samples + DeclarationWeight);
    return durationOf(learnedWeight * learned + (1 - learnedWeight) * logOf(declared));
}

Duration RunTimeEstimator::lowerBound(const ServiceName &service, const TaskKind &kind, Duration declared) const
{
    const auto [mean, variance, samples] = forecast(service, kind, declared);
    return samples < MinSamplesForLowerBound ? Duration::zero() : durationOf(mean - LowerBoundDeviations * std::sqrt(variance));
}

std::size_t RunTimeEstimator::size() const
{
    return m_kinds.size();
}

std::string RunTimeEstimator::nameOf(const ServiceName &service, const TaskKind &kind)
{
    return service.value() + '\n' + kind.value();
}

RunTimeEstimator::Kind &RunTimeEstimator::touch(const std::string &name)
{
    const auto [found, isNew] = m_kinds.try_emplace(name);
    if (isNew) {
        m_byRecency.push_front(&found->first);
        found->second.lruPosition = m_byRecency.begin();
    } else {
        m_byRecency.splice(m_byRecency.begin(), m_byRecency, found->second.lruPosition);
    }
    if (m_kinds.size() > MaxKinds) {
        const auto oldest = *m_byRecency.back();
        m_byRecency.pop_back();
        m_kinds.erase(oldest);
    }
    return found->second;
}

RunTimeEstimator::Forecast RunTimeEstimator::forecast(const ServiceName &service, const TaskKind &kind, Duration declared) const
{
    const auto found = m_kinds.find(nameOf(service, kind));
    if (found == m_kinds.end()) {
        return {};
    }
    const auto &[runTime, ratio, samples, lruPosition] = found->second;
    if (declared > Duration::zero() && ratio.variance < runTime.variance) {
        return {logOf(declared) + ratio.mean, ratio.variance, samples};
    }
    return {runTime.mean, runTime.variance, samples};
}

} // namespace Sycamoremoor
