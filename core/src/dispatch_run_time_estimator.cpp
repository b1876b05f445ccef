// Moving estimates of run times in the logarithm, since run times spread by factors.
#include "dispatch/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace Sycamoremoor
{

namespace
{

constexpr std::size_t MostKinds = 2'000;
constexpr double LeastWeight = 0.02;   ///< of a new observation, once many are known
constexpr double DeclarationTrust = 3; ///< observations that weigh as much as the declaration
constexpr std::uint32_t SamplesForLeast = 20;
constexpr double LeastDeviations = 3; ///< standard deviations below the mean that nearly all tasks exceed
constexpr double LargestVariance = 4;

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
    auto &known = touch(nameOf(service, kind));
    ++known.samples;
    const auto weight = std::max(LeastWeight, 1.0 / known.samples);
    known.runTime.learn(logOf(observed), weight);
    known.ratio.learn(logOf(observed) - logOf(declared), weight);
}

Duration RunTimeEstimator::expected(const ServiceName &service, const TaskKind &kind, Duration declared) const
{
    const auto [mean, variance, samples] = forecast(service, kind, declared);
    if (samples == 0) {
        return declared;
    }
    const auto learned = mean + std::min(variance, LargestVariance) / 2;
    if (declared <= Duration::zero()) {
        return durationOf(learned);
    }
    const auto trust = samples / (samples + DeclarationTrust);
    return durationOf(trust * learned + (1 - trust) * logOf(declared));
}

Duration RunTimeEstimator::least(const ServiceName &service, const TaskKind &kind, Duration declared) const
{
    const auto [mean, variance, samples] = forecast(service, kind, declared);
    return samples < SamplesForLeast ? Duration::zero() : durationOf(mean - LeastDeviations * std::sqrt(variance));
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
        m_uses.push_front(&found->first);
        found->second.use = m_uses.begin();
    } else {
        m_uses.splice(m_uses.begin(), m_uses, found->second.use);
    }
    if (m_kinds.size() > MostKinds) {
        const auto oldest = *m_uses.back();
        m_uses.pop_back();
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
    const auto &[runTime, ratio, samples, use] = found->second;
    if (declared > Duration::zero() && ratio.variance < runTime.variance) {
        return {logOf(declared) + ratio.mean, ratio.variance, samples};
    }
    return {runTime.mean, runTime.variance, samples};
}

} // namespace Sycamoremoor
