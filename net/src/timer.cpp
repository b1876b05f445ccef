// A timer on an event loop.
#include <sycamoremoor/net/timer.h>

#include <sycamoremoor/net/event_loop.h>

#include <event2/event.h>

#include <algorithm>
#include <utility>

namespace Sycamoremoor
{

Timer::Timer(EventLoop &loop, std::function<void()> hook)
    : m_hook(std::move(hook))
    , m_event(evtimer_new(loop.base(), &Timer::fired, this))
{
}

Timer::~Timer()
{
    event_free(m_event);
}

void Timer::start(Duration delay)
{
    const auto wait = std::max(delay, Duration::zero());
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(wait);
    const timeval interval{.tv_sec = seconds.count(), .tv_usec = (wait - seconds).count()};
    evtimer_add(m_event, &interval);
}

void Timer::stop()
{
    evtimer_del(m_event);
}

void Timer::fired(int /*socket*/, short /*what*/, void *self)
{
    const auto hook = static_cast<Timer *>(self)->m_hook; // it may destroy the timer, and with it itself
    hook();
}

} // namespace Sycamoremoor
