// The clocks of this machine.
#pragma once

#include <sycamoremoor/core/time_type.h>

namespace Sycamoremoor
{

/** Returns the time by the monotonic clock, which also runs while the process is paused. */
MonotonicTime monotonicNow();

/** Returns the time by the wall clock. */
WallTime wallNow();

} // namespace Sycamoremoor
