// Workers of unequal speed: how long runs take there, relative to the usual worker of the service.
#include "worker_speed_func.h"

#include <algorithm>
#include <cmath>

namespace Sycamoremoor
{

namespace
{

constexpr double MinDifference = 1.15;  ///< factor from which on workers are treated as unequal
constexpr double KeptDifference = 1.10; ///< factor below which they are treated as equal again, so that noise causes no changes
constexpr double KeptErrors = 4;        ///< standard errors of the measurement below which a difference may be noise again
constexpr double MinErrors = 5;  ///< standard errors that make a difference: 3.5 were exceeded by noise on 13 equal workers within 16 s
constexpr double MaxFactor = 16; ///< like the limit on short-term slowness: a worker beyond it hardly runs at all
constexpr double Thousand = 1'000;
constexpr double ToleranceMargin = 1.3; ///< of run times: declared and estimated ones are off by as much
constexpr double TolerantPreference
    = 1.2; ///< for slow workers: they may be a sixth fuller; 0.6 to 1.5 came out alike in trials of PoolSpeedTest

} // namespace

RunTimeRatio usualRatio(std::vector<RunTimeRatio> ratios)
{
    if (ratios.empty()) {
        return RunTimeRatio(0);
    }
    const auto median = ratios.begin() + static_cast<std::ptrdiff_t>((ratios.size() - 1) / 2);
    std::ranges::nth_element(ratios, median);
    return *median;
}

double runTimeFactorOf(const CapacityReport &report, RunTimeRatio usual, double before)
{
    if (report.runTimeRatio <= RunTimeRatio(0) || usual <= RunTimeRatio(0)) {
        return 1;
    }
    const auto quotient = static_cast<double>(report.runTimeRatio.value()) / static_cast<double>(usual.value());
    const auto factor = std::clamp(quotient, 1 / MaxFactor, MaxFactor);
    const auto difference = std::abs(std::log(factor));
    const auto error = static_cast<double>(report.ratioError.value()) / Thousand;
    const bool isKept = before != 1 && difference >= std::max(std::log(KeptDifference), error * KeptErrors);
    return isKept || difference >= std::max(std::log(MinDifference), error * MinErrors) ? factor : 1;
}

double speedPreference(double factor, double tolerance)
{
    if (factor == 1) {
        return 1;
    }
    if (tolerance < ToleranceMargin * std::max(factor, 1.0)) {
        return 1 / (factor * factor);
    }
    return factor > 1 ? TolerantPreference : 1 / TolerantPreference;
}

} // namespace Sycamoremoor
