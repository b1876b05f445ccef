// Types for points in time and durations. The clocks have no now(): the time is passed in.
#pragma once

#include <chrono>

namespace Sycamoremoor
{

using Duration = std::chrono::microseconds;

/** Time since an arbitrary point, for example boot. Never goes backwards; not comparable between machines. */
struct MonotonicClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true;
};

/** Time since the Unix epoch. Comparable between machines within the limit of clock skew. */
struct WallClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<WallClock>;
    static constexpr bool is_steady = false;
};

using MonotonicTime = MonotonicClock::time_point;
using WallTime = WallClock::time_point;

} // namespace Sycamoremoor
