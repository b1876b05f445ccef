// The clocks of this machine.
#include <sycamoremoor/net/clock_func.h>

#include <ctime>

namespace Sycamoremoor
{

namespace
{

Duration readClock(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

MonotonicTime monotonicNow()
{
    // Counts on while the whole VM is suspended, unlike CLOCK_MONOTONIC: leases must lapse then.
    return MonotonicTime(readClock(CLOCK_BOOTTIME));
}

WallTime wallNow()
{
    return WallTime(readClock(CLOCK_REALTIME));
}

} // namespace Sycamoremoor
