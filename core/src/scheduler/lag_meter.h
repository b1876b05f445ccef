// How far a scheduler is behind with its own work.
#pragma once

#include <sycamoremoor/core/time_type.h>

namespace Sycamoremoor
{

/** How long inputs wait in this process: the last value or a moving mean, whichever is longer. */
class LagMeter
{
public:
    /** Records that inputs handled at @p now have waited for @p lag. */
    void record(MonotonicTime now, Duration lag);

    /** Returns how long an input is expected to wait. */
    [[nodiscard]] Duration expectedLag() const;

private:
    Duration m_mean{};
    Duration m_last{};
    MonotonicTime m_recordedAt;
};

} // namespace Sycamoremoor
