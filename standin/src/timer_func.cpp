// Clock and one-shot timers of the stand-ins, on libevent.
#include "timer_func.h"

#include <event2/event.h>

#include <memory>
#include <utility>

namespace Sycamoremoor
{

MonotonicTime monotonicNow()
{
    return MonotonicTime(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

WallTime wallNow()
{
    return WallTime(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
}

void callAfter(event_base *base, Duration delay, std::function<void()> action)
{
    const auto run = [](evutil_socket_t, short, void *argument) {
        const std::unique_ptr<std::function<void()>> owned(static_cast<std::function<void()> *>(argument));
        (*owned)();
    };
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(delay);
    const timeval after{.tv_sec = seconds.count(), .tv_usec = (delay - seconds).count()};
    event_base_once(base, -1, EV_TIMEOUT, run, std::make_unique<std::function<void()>>(std::move(action)).release(), &after);
}

} // namespace Sycamoremoor
