// Clock and one-shot timers of the stand-ins.
#pragma once

#include <sycamoremoor/core/time_type.h>

#include <functional>

struct event_base;

namespace Sycamoremoor
{

/** Returns the monotonic clock's time. */
MonotonicTime monotonicNow();

/** Returns the wall clock's time. */
WallTime wallNow();

/** Calls @p action once after @p delay from the event loop. */
void callAfter(event_base *base, Duration delay, std::function<void()> action);

} // namespace Sycamoremoor
