// How fast an upstream runs its tasks.
#include "upstream_speed.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <numeric>

namespace Sycamoremoor
{

namespace
{

constexpr std::size_t MinRuns = 24;                  ///< before a ratio is reported; with a spread of 0.45 its standard error is a tenth
constexpr std::size_t MaxRuns = 384;                 ///< limit on memory; with a spread of 0.45 the standard error is 2.5 %
constexpr std::size_t KeptRuns = 128;                ///< that are kept however old they are: without new runs nothing better is known
constexpr Duration MaxAge = std::chrono::seconds(8); ///< of other runs: some hundred runs on a busy worker; slow drifts are followed
constexpr Duration UpdateInterval = std::chrono::milliseconds(100); ///< bounds the processor time; a busy worker ends five runs meanwhile
constexpr std::array<std::size_t, 3> ChangeWindows{24, 48, 96};     ///< newest runs that are compared with the earlier ones
constexpr double ChangeErrors = 5;    ///< standard errors that make a change: by chance one in a million comparisons
constexpr double MinChange = 0.1;     ///< lesser changes are left to the moving window
constexpr double MinSpread = 0.1;     ///< of logarithms; fewer runs could otherwise seem exact by chance
constexpr double MidMeanFactor = 1.1; ///< standard error of the mean of the middle half over that of the mean, for a normal distribution
constexpr double QuartilesPerSpread = 1.349; ///< distance of the quartiles of a normal distribution in standard deviations
constexpr double Thousand = 1'000;
constexpr double MaxRatio = 1'000;         ///< of run time to reference, and its inverse; others say that the reference is wrong
constexpr double MinReportedChange = 0.02; ///< of the logarithm; lesser ones would cause capacity reports for noise
constexpr double MinErrorChange = 0.75;    ///< a reported error is replaced by one that is lower by this factor, or higher by its inverse

RunTimeRatio thousandthsOf(double value)
{
    return RunTimeRatio(std::max<std::int64_t>(1, std::llround(value * Thousand)));
}

} // namespace

UpstreamSpeed::Summary UpstreamSpeed::summaryOf(std::vector<double> logarithms)
{
    std::ranges::sort(logarithms);
    const auto quarter = static_cast<std::ptrdiff_t>(logarithms.size() / 4);
    const auto first = logarithms.begin() + quarter;
    const auto last = logarithms.end() - quarter;
    Summary summary;
    summary.center = std::accumulate(first, last, 0.0) / static_cast<double>(std::distance(first, last));
    summary.spread = std::max(MinSpread, (*std::prev(last) - *first) / QuartilesPerSpread);
    summary.error = MidMeanFactor * summary.spread / std::sqrt(static_cast<double>(logarithms.size()));
    return summary;
}

std::vector<double> UpstreamSpeed::logarithms(std::size_t from, std::size_t until) const
{
    std::vector<double> values;
    values.reserve(until - from);
    for (auto index = from; index < until; ++index) {
        values.push_back(m_samples[index].logarithm);
    }
    return values;
}

void UpstreamSpeed::dropOld(MonotonicTime now)
{
    while (m_samples.size() > MaxRuns || (m_samples.size() > KeptRuns && m_samples.front().at + MaxAge < now)) {
        m_samples.pop_front();
    }
}

void UpstreamSpeed::dropBeforeChange()
{
    const auto all = m_samples.size();
    for (const auto window : ChangeWindows) {
        if (all < window * 2) {
            return;
        }
        const auto before = summaryOf(logarithms(0, all - window));
        const auto recent = summaryOf(logarithms(all - window, all));
        const auto recentError = MidMeanFactor * before.spread / std::sqrt(static_cast<double>(window));
        const auto difference = std::abs(recent.center - before.center);
        if (difference > std::max(MinChange, ChangeErrors * std::hypot(recentError, before.error))) {
            m_samples.erase(m_samples.begin(), m_samples.end() - static_cast<std::ptrdiff_t>(window));
            return;
        }
    }
}

void UpstreamSpeed::runEnded(MonotonicTime now, Duration runTime, Duration reference)
{
    const auto ratio = static_cast<double>(runTime.count()) / static_cast<double>(reference.count());
    m_samples.push_back({now, std::log(std::clamp(ratio, 1 / MaxRatio, MaxRatio))});
    dropOld(now);
    if (m_samples.size() < MinRuns || now < m_updatedAt + UpdateInterval) {
        return;
    }
    m_updatedAt = now;
    dropBeforeChange();
    const auto summary = summaryOf(logarithms(0, m_samples.size()));
    const auto measured = std::exp(summary.center);
    const auto before = static_cast<double>(m_ratio.value()) / Thousand;
    const auto error = static_cast<double>(m_error.value()) / Thousand;
    const bool hasMoved = m_ratio == RunTimeRatio(0) || std::abs(std::log(measured / before)) >= MinReportedChange;
    if (hasMoved || summary.error <= error * MinErrorChange || summary.error >= error / MinErrorChange) {
        m_ratio = thousandthsOf(measured);
        m_error = thousandthsOf(summary.error);
    }
}

RunTimeRatio UpstreamSpeed::ratio() const
{
    return m_ratio;
}

RunTimeRatio UpstreamSpeed::error() const
{
    return m_error;
}

} // namespace Sycamoremoor
