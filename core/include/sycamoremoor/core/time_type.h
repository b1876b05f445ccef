// Points in time and durations. No clock is read here: callers pass the time in.
#pragma once

#include <chrono>

namespace Sycamoremoor
{

using Duration = std::chrono::microseconds;

/** Time since some start of this machine; never steps back; meaningless on another machine. */
struct MonotonicClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true;
};

/** Time since the Unix epoch; comparable between machines within the clock skew bound. */
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
