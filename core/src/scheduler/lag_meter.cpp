// How far a scheduler is behind with its own work.
#include "lag_meter.h"

#include <algorithm>
#include <cmath>

namespace Sycamoremoor
{

namespace
{

constexpr Duration AveragingTime = std::chrono::milliseconds(100); ///< below the slack of most jobs, above the time of a single long job

} // namespace

void LagMeter::record(MonotonicTime now, Duration lag)
{
    const auto elapsed = std::chrono::duration<double>(now - m_recordedAt);
    const auto weight = 1 - std::exp(-elapsed / std::chrono::duration<double>(AveragingTime));
    m_mean += Duration(static_cast<std::int64_t>(static_cast<double>((lag - m_mean).count()) * weight));
    m_last = lag;
    m_recordedAt = now;
}

Duration LagMeter::expectedLag() const
{
    return std::max(m_mean, m_last);
}

} // namespace Sycamoremoor
